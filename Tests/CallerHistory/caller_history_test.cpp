#include "caller/caller_history.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t allowance = 2;

    caller_request tryNumber(std::uint32_t attempt, const std::string& key = "")
    {
        caller_request asked;
        asked.attempt = attempt;
        asked.idempotencyKey = key;
        return asked;
    }

    context_text answerOf(std::uint32_t attempt, std::uint32_t tokens, bool mayHaveRun)
    {
        return { "r", 0, tokens, mayHaveRun, attempt };
    }

}

TEST(CallerHistory, AFirstTryHasTheWholeAllowance)
{
    for (const auto& asked : { tryNumber(1), tryNumber(1, "key"), tryNumber(0) }) {
        auto history = readHistory(asked, std::nullopt, allowance);
        EXPECT_EQ(history.tokens, allowance);
        EXPECT_FALSE(history.earlierMayHaveRun);
    }
}

TEST(CallerHistory, ARepeatThatBringsNothingHasNoTokensAndMayHaveRun)
{
    for (const auto& asked : { tryNumber(2), tryNumber(0, "key") }) {
        auto history = readHistory(asked, std::nullopt, allowance);
        EXPECT_EQ(history.tokens, 0U);
        EXPECT_TRUE(history.earlierMayHaveRun);
    }
}

TEST(CallerHistory, ARepeatHasWhatTheLastAnswerLeft)
{
    auto history = readHistory(tryNumber(2), answerOf(1, 1, false), allowance);
    EXPECT_EQ(history.tokens, 1U);
    EXPECT_FALSE(history.earlierMayHaveRun);
    EXPECT_TRUE(readHistory(tryNumber(2), answerOf(1, 1, true), allowance).earlierMayHaveRun);
    EXPECT_EQ(readHistory(tryNumber(2), answerOf(1, 99, true), allowance).tokens, allowance);
}

// Found by the measure tool: a client whose second answer was lost brought back
// the first refusal with its third try, and was told "not run" of a request that ran.
TEST(CallerHistory, AnOldAnswerSaysNothingOfTheTryThatWasLost)
{
    auto history = readHistory(tryNumber(3), answerOf(1, 2, false), allowance);
    EXPECT_EQ(history.tokens, 0U);
    EXPECT_TRUE(history.earlierMayHaveRun);
}

}
