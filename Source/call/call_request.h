#pragma once

#include "call/http_field.h"
#include "call/message_body.h"
#include "decision/request_context.h"
#include "decision/server_notice.h"
#include "decision/ticket.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// One attempt of a call, as the caller's node sends it to the target's node.
struct call_request {
    // Chosen by the caller's node; copied into the answer.
    std::uint64_t callId = 0;
    // 1 for the first attempt of this call.
    std::uint32_t attempt = 1;
    // Whether the target refuses the call at once instead of queueing it. The caller's node then
    // tries another target.
    bool refuseIfFull = false;
    request_context context;
    // What the caller's node last learnt of the target's backend server, if that announced anything.
    std::optional<relayed_notice> notice;
    // Present if and only if the call is not idempotent.
    std::optional<ticket> permit;
    std::string service;
    // Service of the backend server beside the node where the call began; empty if it is not
    // needed.
    std::string callerService;
    std::string method;
    // Path and query, as they are sent to the backend server.
    std::string path;
    http_fields fields;
    message_body body;
};

}
