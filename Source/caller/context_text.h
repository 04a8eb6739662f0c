#pragma once

#include "decision/importance.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Content of the opaque context field. A caller gains nothing by forging it: importance and deadline
// come from the contract or from the run that it names, and tokens can only decrease.
struct context_text {
    std::string requestId;
    // The run that an onward call is part of; 0 if it is not an onward call.
    std::uint64_t runId = 0;
    // Remaining retry tokens.
    std::uint32_t retryTokens = 0;
    // Whether this or an earlier attempt of the caller may have run.
    bool mayHaveRun = false;
    // The caller's attempt whose response carried this context; 0 if the caller does not count them.
    std::uint32_t attempt = 0;
};

std::string toString(const context_text&);

// Returns nothing for a text that toString() cannot have produced.
std::optional<context_text> parseContextText(const std::string& text);

// Whether a text may be used as a request id: 1 to 64 of a-z, A-Z, 0-9, '-' and '_'.
bool isRequestId(const std::string& text);

}
