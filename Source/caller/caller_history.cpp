#include "caller/caller_history.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Whether the try can be the first of its request, by the caller's own words.
    bool isFirstTry(const caller_request& asked)
    {
        return !asked.permit && (asked.attempt == 1 || (asked.attempt == 0 && asked.idempotencyKey.empty()));
    }

    // Whether the context answered the try just before this one.
    bool isLatest(const caller_request& asked, const context_text& brought)
    {
        return asked.attempt <= brought.attempt + 1;
    }

}

caller_history readHistory(const caller_request& asked, const std::optional<context_text>& brought, std::uint32_t allowance)
{
    if (!brought) {
        bool first = isFirstTry(asked);
        return { first ? allowance : 0, !first };
    }
    if (!isLatest(asked, *brought)) {
        return { 0, true };
    }
    return { std::min(brought->retryTokens, allowance), brought->mayHaveRun };
}

}
