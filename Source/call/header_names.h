#pragma once

namespace vanillashunt::header {

// Names of the HTTP header fields that docs/design/headers.md specifies.
constexpr const char* service = "Vanillashunt-Service";
constexpr const char* organisation = "Vanillashunt-Customer";
constexpr const char* timeout = "Vanillashunt-Timeout";
constexpr const char* ticket = "Vanillashunt-Ticket";
constexpr const char* context = "Vanillashunt-Context";
constexpr const char* attempt = "Vanillashunt-Attempt";
constexpr const char* verdict = "Vanillashunt-Verdict";
constexpr const char* reason = "Vanillashunt-Reason";
constexpr const char* requestId = "Vanillashunt-Request-Id";
constexpr const char* retryAfterMilliseconds = "Vanillashunt-Retry-After-Ms";
constexpr const char* retryAfter = "Retry-After";
constexpr const char* idempotencyKey = "Idempotency-Key";

}
