#pragma once

#include "call/http_field.h"
#include "call/message_body.h"
#include "decision/bottleneck_cost.h"
#include "decision/server_notice.h"
#include "decision/shedding_position.h"
#include "decision/ticket.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// The result of one attempt of a call: the backend server's answer, or the reason why there is none.
struct call_answer {
    // Both are copied from the request.
    std::uint64_t callId = 0;
    std::uint32_t attempt = 0;
    verdict outcome;
    // HTTP status, header fields and body from the backend server; empty unless it answered.
    std::uint32_t status = 0;
    http_fields fields;
    message_body body;
    // After a refusal: the use of the request's ticket that can be claimed next.
    std::uint32_t nextUse = 0;
    // After a refusal by a home node that can run nothing more: the ticket that replaces the
    // request's ticket from now on.
    std::optional<ticket> successor;
    // Retry tokens left over from those that the request carried.
    std::uint32_t retryTokens = 0;
    // The highest shedding cut in the call chain below, so that the entry node can shed
    // requests on behalf of the deepest service.
    shedding_position cut = 0;
    // Slot time that the request used at the service with that cut.
    bottleneck_cost cost;
    // Calls to another availability zone that were made for the request below the answering
    // node.
    std::uint32_t zoneCrossings = 0;
    // Load of the answering node: calls at its backend server or waiting for it, and the limit
    // of concurrent calls. The limit is 0 if the node reports none.
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    // Mean service time of calls of this class at the backend server; zero if the node does not
    // report it.
    std::chrono::microseconds meanServiceTime { 0 };
    // What the backend server of the answering node announces, if it ever announced anything.
    std::optional<relayed_notice> notice;
};

// Returns an answer that a node gives itself, without HTTP status, header fields and body.
call_answer makeCallAnswer(std::uint64_t callId, std::uint32_t attempt, const verdict&);

}
