#include "caller/caller_history.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Whether the attempt can be the first of its request, as far as the caller states.
    bool isFirstAttempt(const caller_request& request)
    {
        return !request.permit && (request.attempt == 1 || (request.attempt == 0 && request.idempotencyKey.empty()));
    }

    // Whether the context is from the response to the attempt just before this one.
    bool isFromPreviousAttempt(const caller_request& request, const context_text& returnedContext)
    {
        return request.attempt <= returnedContext.attempt + 1;
    }

}

caller_history readHistory(const caller_request& request, const std::optional<context_text>& returnedContext, std::uint32_t allowance)
{
    if (!returnedContext) {
        bool isFirst = isFirstAttempt(request);
        return { isFirst ? allowance : 0, !isFirst };
    }
    if (!isFromPreviousAttempt(request, *returnedContext)) {
        return { 0, true };
    }
    return { std::min(returnedContext->retryTokens, allowance), returnedContext->mayHaveRun };
}

}
