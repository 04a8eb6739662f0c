#pragma once

#include "call/http_field.h"
#include "decision/request_context.h"
#include "decision/ticket.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// One attempt of one call, as it goes from a caller's node to the target's node.
struct call_request {
    // Chosen by the caller's node; echoed by the answer.
    std::uint64_t callId = 0;
    // 1 for the first attempt of this call.
    std::uint32_t attempt = 1;
    // Whether the target is to refuse the call at once where it would wait: its caller's
    // node goes on to another target.
    bool refuseIfFull = false;
    request_context context;
    // Present if and only if the call is not idempotent.
    std::optional<ticket> permit;
    std::string service;
    // The service beside which the call began; empty where nobody asks.
    std::string callerService;
    std::string method;
    // Path and query, as the backend server is to see them.
    std::string path;
    http_fields fields;
    std::string body;
};

}
