#pragma once

#include "call/http_field.h"
#include "decision/bottleneck_cost.h"
#include "decision/shedding_position.h"
#include "decision/ticket.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// What came of one attempt: the backend server's answer, or why there is none.
struct call_answer {
    // Both echo the request.
    std::uint64_t callId = 0;
    std::uint32_t attempt = 0;
    verdict outcome;
    // HTTP status, fields and body of the backend server; empty unless it answered.
    std::uint32_t status = 0;
    http_fields fields;
    std::string body;
    // The use of the request's ticket that can be claimed next, after a refusal.
    std::uint32_t nextUse = 0;
    // The ticket that stands for the request's one from now on, after a refusal by a home that
    // can run nothing more.
    std::optional<ticket> successor;
    // What is left of the retry tokens that the request carried.
    std::uint32_t retryTokens = 0;
    // The highest cut on the call chain below, so that the entrance can refuse
    // for the deepest service.
    shedding_position cut = 0;
    // What the request took of the service whose cut that is.
    bottleneck_cost cost;
    // Calls that were made for the request below the answering node, and that went to
    // another availability zone.
    std::uint32_t zoneCrossings = 0;
    // Load of the answering node: calls at its backend server, and their limit.
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    // The time that calls of this class usually take at its backend server; zero where the
    // node does not tell.
    std::chrono::microseconds meanServiceTime { 0 };
};

// An answer that a node gives in the place of a backend server.
call_answer makeCallAnswer(std::uint64_t callId, std::uint32_t attempt, const verdict&);

}
