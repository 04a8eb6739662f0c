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

// A request from an outside caller or from the node's own backend server, with the parsed fields of
// docs/design/headers.md.
struct caller_request {
    std::string service;
    std::string method;
    // Path and query that the backend server receives.
    std::string path;
    http_fields fields;
    std::string body;
    std::string organisation;
    // How long the caller still waits; nothing if it does not say.
    std::optional<std::chrono::milliseconds> timeout;
    std::string idempotencyKey;
    std::optional<ticket> permit;
    // As received; parseContextText() parses it.
    std::string context;
    // The caller's own number of this attempt, from 1; 0 if it does not say.
    std::uint32_t attempt = 0;
};

// Why a request is invalid, with a message that tells the caller how to correct it.
struct caller_problem {
    verdict_reason reason = verdict_reason::Malformed;
    std::string message;
};

using read_caller_result = std::variant<caller_request, caller_problem>;

// Parses the fields of a request, without side effects.
read_caller_result readCallerRequest(http_request);

// Parses a duration of up to an hour such as "1500ms" or "2s"; returns nothing for any other text.
std::optional<std::chrono::milliseconds> readTimeout(const std::string& text);

}
