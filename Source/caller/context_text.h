#pragma once

#include "decision/importance.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// What the opaque context field carries. Nothing in it is believed that a
// caller could gain by: importance and time come from the contract or from the
// run that it names, and tokens only ever go down.
struct context_text {
    std::string requestId;
    // The run that an onward call is part of; 0 outside of one.
    std::uint64_t runId = 0;
    // Retry tokens that the caller brings back.
    std::uint32_t retryTokens = 0;
    // Whether this or an earlier try of the caller may have run.
    bool mayHaveRun = false;
    // The caller's try that this context was the answer to; 0 where it did not count.
    std::uint32_t attempt = 0;
};

std::string toString(const context_text&);

// Returns nothing for a text that toString cannot have made.
std::optional<context_text> parseContextText(const std::string& text);

// Whether a text may be used as a request id: 1 to 64 of a-z, A-Z, 0-9, '-' and '_'.
bool isRequestId(const std::string& text);

}
