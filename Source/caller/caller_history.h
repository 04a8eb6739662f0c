#pragma once

#include "caller/caller_request.h"
#include "caller/context_text.h"

#include <cstdint>
#include <optional>

namespace vanillashunt {

// What an attempt shows about the caller's earlier attempts of the same request.
struct caller_history {
    // Remaining retry tokens of the request.
    std::uint32_t tokens = 0;
    // Whether an earlier attempt may have run.
    bool earlierMayHaveRun = false;
};

// Derives the history from the request and the context that it returns from an earlier response. An
// attempt that may be a retry, but does not return the context of the attempt before it, gets no
// tokens and is treated as one that may have run before.
caller_history readHistory(const caller_request&, const std::optional<context_text>& returnedContext, std::uint32_t allowance);

}
