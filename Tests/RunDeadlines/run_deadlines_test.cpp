#include "decision/run_deadlines.h"

#include <gtest/gtest.h>

#include <random>

namespace vanillashunt {

namespace {

    using time_point = run_deadlines::time_point;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    // The deadline that a server sends with an onward call: both sides have rounded it to whole
    // milliseconds, and transmission has taken some time.
    time_point echoed(time_point assigned, std::mt19937& random)
    {
        return assigned - microseconds(random() % 1000) + microseconds(random() % 4000);
    }

}

TEST(RunDeadlines, FindsTheRunOfACall)
{
    std::mt19937 random(3);
    run_deadlines runs;
    time_point base { std::chrono::seconds(100) };
    auto first = runs.begin(1, base + milliseconds(800));
    auto second = runs.begin(2, base + milliseconds(801));
    EXPECT_EQ(runs.find(echoed(first, random)), 1U);
    EXPECT_EQ(runs.find(echoed(second, random)), 2U);
    EXPECT_FALSE(runs.find(base + milliseconds(5000)));
}

TEST(RunDeadlines, AssignsNoLaterDeadlineAndOnlySlightlyEarlierOnes)
{
    std::mt19937 random(5);
    run_deadlines runs;
    time_point base { std::chrono::seconds(100) };
    for (std::uint64_t id = 1; id <= 200; ++id) {
        auto deadline = base + milliseconds(random() % 400);
        auto assigned = runs.begin(id, deadline);
        EXPECT_LE(assigned, deadline);
        EXPECT_LE(deadline - assigned, milliseconds(60));
    }
}

// With fifty concurrent runs, as on a server with that many slots, nearly every call is
// attributed to its own run.
TEST(RunDeadlines, DistinguishesFiftyRuns)
{
    std::mt19937 random(9);
    run_deadlines runs;
    time_point base { std::chrono::seconds(100) };
    std::vector<time_point> assigned;
    for (std::uint64_t id = 0; id < 50; ++id) {
        assigned.push_back(runs.begin(id, base + milliseconds(random() % 800)));
    }
    int correct = 0;
    for (std::uint64_t id = 0; id < 50; ++id) {
        correct += runs.find(echoed(assigned[id], random)) == id ? 1 : 0;
    }
    EXPECT_GE(correct, 45);
}

TEST(RunDeadlines, ForgetsARunThatEnded)
{
    run_deadlines runs;
    auto assigned = runs.begin(1, time_point(std::chrono::seconds(1)));
    runs.end(1);
    EXPECT_FALSE(runs.find(assigned));
}

}
