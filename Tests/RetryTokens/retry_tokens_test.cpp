#include "decision/call_progress.h"
#include "decision/retry_budget.h"

#include <gtest/gtest.h>

#include <random>

namespace vanillashunt {

namespace {

    // Runs one request through a random call tree in which calls fail, answers are lost
    // and servers make onward calls, and counts the retries.
    class random_tree {
    public:
        // conserving: whether a run gives up the tokens that it passes to onward calls.
        random_tree(std::uint64_t seed, bool conserving)
            : m_random(seed)
            , m_conserving(conserving)
        {
        }

        // Returns the tokens that are left.
        std::uint32_t call(std::uint32_t tokens, int depth)
        {
            call_progress progress(true, tokens, false);
            while (true) {
                auto start = progress.begin(m_random());
                progress.finished(attempt(start.tokens, depth));
                if (!progress.mayRetry(std::chrono::steady_clock::time_point::max(), {})) {
                    return progress.tokens();
                }
                progress.retry();
                ++retries;
            }
        }

        int retries = 0;

    private:
        attempt_result attempt(std::uint32_t tokens, int depth)
        {
            auto onward = depth == 0 ? 0 : m_random() % 4;
            for (std::uint64_t i = 0; i < onward; ++i) {
                // Passes tokens on as inbound_calls does: about half of the rest to each onward call.
                auto taken = (tokens + 1) / 2;
                tokens -= m_conserving ? taken : 0;
                tokens += call(taken, depth - 1);
            }
            switch (m_random() % 4) {
            case 0:
                return { verdict::mayHaveRun(verdict_reason::AnswerLost), 0, 0, false };
            case 1:
                return { verdict::notRun(verdict_reason::BackendUnreachable), tokens, 0, false };
            default:
                return { verdict::answered(), tokens, 0, false };
            }
        }

        std::mt19937_64 m_random;
        bool m_conserving;
    };

    // The seed of the first tree that spends more than its allowance; empty if none does.
    std::string firstOverspendingTree(bool conserving)
    {
        for (std::uint64_t seed = 1; seed <= 20000; ++seed) {
            for (std::uint32_t allowance = 0; allowance <= 3; ++allowance) {
                random_tree tree(seed, conserving);
                auto left = tree.call(allowance, 5);
                if (tree.retries + left > allowance) {
                    return "seed " + std::to_string(seed);
                }
            }
        }
        return {};
    }

}

TEST(RetryTokens, NoTreeSpendsMoreThanItsAllowance)
{
    EXPECT_EQ(firstOverspendingTree(true), "");
}

TEST(RetryTokens, TreesOverspendIfTokensAreCopied)
{
    EXPECT_NE(firstOverspendingTree(false), "");
}

TEST(RetryTokens, TokensThatAPeerAddsAreIgnored)
{
    call_progress progress(true, 2, false);
    auto start = progress.begin(1);
    progress.finished({ verdict::notRun(verdict_reason::BackendUnreachable), start.tokens + 100, 0, false });
    EXPECT_EQ(progress.tokens(), 2U);
}

TEST(RetryTokens, ALostAnswerLosesItsTokensAndAnUnsentAttemptDoesNot)
{
    call_progress lost(true, 2, false);
    lost.begin(1);
    lost.finished({ verdict::mayHaveRun(verdict_reason::AnswerLost), 0, 0, false });
    EXPECT_EQ(lost.tokens(), 1U);
    call_progress unsent(true, 2, false);
    unsent.begin(1);
    unsent.finished({ verdict::notRun(verdict_reason::PeerUnreachable), 0, 0, false });
    EXPECT_EQ(unsent.tokens(), 2U);
}

TEST(RetryTokens, ACallShedByItsPositionIsNotRetried)
{
    call_progress progress(true, 2, false);
    progress.begin(1);
    progress.finished({ verdict::notRun(verdict_reason::Overload), 2, 0, true });
    EXPECT_FALSE(progress.mayRetry(std::chrono::steady_clock::time_point::max(), {}));
}

// Guards against treating a full server as a cut: one full server out of three made confirmed
// replies fail although their positions were far above every cut.
TEST(RetryTokens, ACallRefusedByAFullServerIsRetriedAtAnother)
{
    call_progress progress(true, 2, false);
    progress.begin(1);
    progress.finished({ verdict::notRun(verdict_reason::Overload), 2, 0, false });
    EXPECT_TRUE(progress.mayRetry(std::chrono::steady_clock::time_point::max(), {}));
}

TEST(RetryTokens, ANodeRetriesASmallFractionOfItsCalls)
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.firstAttempt("threads");
        retries += budget.takeRetry("threads") ? 1 : 0;
    }
    EXPECT_LE(retries, 120);
    EXPECT_GE(retries, 100);
}

}
