#pragma once

#include "caller/caller_request.h"
#include "caller/context_text.h"

#include <cstdint>
#include <optional>

namespace vanillashunt {

// What a caller's try tells of its earlier tries of the same request.
struct caller_history {
    // Retry tokens that the request still has.
    std::uint32_t tokens = 0;
    // Whether an earlier try may have run.
    bool earlierMayHaveRun = false;
};

// A try that may be a repeat and does not bring back the answer of the try
// before it gets no tokens, and counts as one that may have run before.
caller_history readHistory(const caller_request&, const std::optional<context_text>& brought, std::uint32_t allowance);

}
