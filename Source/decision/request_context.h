#pragma once

#include "decision/importance.h"
#include "decision/request_fingerprint.h"
#include "decision/shedding_position.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace vanillashunt {

// What every node on a call chain knows of the whole request.
struct request_context {
    // Identifies the whole request; all onward calls carry the same id.
    std::string requestId;
    std::string organisation;
    // Identifies the path and body of this call. Not on the wire: each node computes it.
    request_fingerprint content;
    // The request class that the contract assigns at the entry node, for example "desk-reply".
    std::string requestClass;
    importance level = importance::Deferrable;
    shedding_position position = 0;
    // Whether this call may run twice.
    bool idempotent = true;
    // Retries that this call and all calls below it may still spend together.
    std::uint32_t retryTokens = 0;
    // Number of calls above this one; 0 at the entry node.
    std::uint32_t depth = 0;
    // Deadline of the whole request on this node's clock. The remaining duration is sent on
    // the wire.
    std::chrono::steady_clock::time_point deadline;
};

}
