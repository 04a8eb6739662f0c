#pragma once

#include "decision/importance.h"
#include "decision/request_fingerprint.h"
#include "decision/shedding_position.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace vanillashunt {

// What every hop of a call chain knows of the whole request that it serves.
struct request_context {
    // Names the whole request; every onward call carries the same.
    std::string requestId;
    std::string organisation;
    // What this call asks for. Not on the wire: each node works it out for itself.
    request_fingerprint content;
    // The contract's class at the entry, for example "desk-reply".
    std::string requestClass;
    importance level = importance::Deferrable;
    shedding_position position = 0;
    // Whether this call may run twice.
    bool idempotent = true;
    // Retries that this call and everything below it may still spend together.
    std::uint32_t retryTokens = 0;
    // Calls above this one; 0 at the entry.
    std::uint32_t depth = 0;
    // When the whole request runs out of time, on this node's clock. On the wire
    // it is a remaining duration.
    std::chrono::steady_clock::time_point deadline;
};

}
