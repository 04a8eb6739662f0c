#include "caller/caller_history.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t allowance = 2;

    caller_request requestOfAttempt(std::uint32_t attempt, const std::string& key = "")
    {
        caller_request request;
        request.attempt = attempt;
        request.idempotencyKey = key;
        return request;
    }

    context_text contextOf(std::uint32_t attempt, std::uint32_t tokens, bool mayHaveRun)
    {
        return { "r", 0, tokens, mayHaveRun, attempt };
    }

}

TEST(CallerHistory, AFirstAttemptHasTheWholeAllowance)
{
    for (const auto& request : { requestOfAttempt(1), requestOfAttempt(1, "key"), requestOfAttempt(0) }) {
        auto history = readHistory(request, std::nullopt, allowance);
        EXPECT_EQ(history.tokens, allowance);
        EXPECT_FALSE(history.earlierMayHaveRun);
    }
}

TEST(CallerHistory, ARetryWithoutAContextHasNoTokensAndMayHaveRun)
{
    for (const auto& request : { requestOfAttempt(2), requestOfAttempt(0, "key") }) {
        auto history = readHistory(request, std::nullopt, allowance);
        EXPECT_EQ(history.tokens, 0U);
        EXPECT_TRUE(history.earlierMayHaveRun);
    }
}

TEST(CallerHistory, ARetryHasTheTokensOfTheLastAnswer)
{
    auto history = readHistory(requestOfAttempt(2), contextOf(1, 1, false), allowance);
    EXPECT_EQ(history.tokens, 1U);
    EXPECT_FALSE(history.earlierMayHaveRun);
    EXPECT_TRUE(readHistory(requestOfAttempt(2), contextOf(1, 1, true), allowance).earlierMayHaveRun);
    EXPECT_EQ(readHistory(requestOfAttempt(2), contextOf(1, 99, true), allowance).tokens, allowance);
}

// A client whose second answer is lost returns the context of the first refusal with its third attempt.
// It must not be told that the request did not run, since the second attempt may have run.
TEST(CallerHistory, AnOldContextDoesNotCoverTheLostAttempt)
{
    auto history = readHistory(requestOfAttempt(3), contextOf(1, 2, false), allowance);
    EXPECT_EQ(history.tokens, 0U);
    EXPECT_TRUE(history.earlierMayHaveRun);
}

}
