#pragma once

#include "call/http_field.h"
#include "decision/ticket.h"
#include "decision/verdict.h"
#include "http/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace vanillashunt {

// A request from a caller outside or from the own backend server, with the
// fields of docs/design/headers.md read.
struct caller_request {
    std::string service;
    std::string method;
    // Path and query for the backend server.
    std::string path;
    http_fields fields;
    std::string body;
    std::string organisation;
    // Time that the caller still waits; nothing where it does not say.
    std::optional<std::chrono::milliseconds> timeout;
    std::string idempotencyKey;
    std::optional<ticket> permit;
    // As received; contextText.h reads it.
    std::string context;
    // The caller's own count of its tries; 0 where it does not say.
    std::uint32_t attempt = 0;
};

// Why a request cannot be read, for the caller to mend.
struct caller_problem {
    verdict_reason reason = verdict_reason::Malformed;
    std::string message;
};

using read_caller_result = std::variant<caller_request, caller_problem>;

// Reads the fields of a request; touches nothing else.
read_caller_result readCallerRequest(http_request);

// Reads a duration such as "1500ms" or "2s"; nothing for anything else.
std::optional<std::chrono::milliseconds> readTimeout(const std::string& text);

}
