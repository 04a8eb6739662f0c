#include "decision/run_deadlines.h"

#include <gtest/gtest.h>

#include <random>

namespace vanillashunt {

namespace {

    using time_point = run_deadlines::time_point;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    // The deadline that a server tells of a call, after both sides rounded it to whole
    // milliseconds and the way took its time.
    time_point echoed(time_point told, std::mt19937& random)
    {
        return told - microseconds(random() % 1000) + microseconds(random() % 4000);
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

TEST(RunDeadlines, NeverTellsALaterDeadlineAndHardlyAnEarlierOne)
{
    std::mt19937 random(5);
    run_deadlines runs;
    time_point base { std::chrono::seconds(100) };
    for (std::uint64_t id = 1; id <= 200; ++id) {
        auto deadline = base + milliseconds(random() % 400);
        auto told = runs.begin(id, deadline);
        EXPECT_LE(told, deadline);
        EXPECT_LE(deadline - told, milliseconds(60));
    }
}

// Fifty runs at once, as a server of as many slots has them: nearly every call finds
// its own run.
TEST(RunDeadlines, TellsFiftyRunsApart)
{
    std::mt19937 random(9);
    run_deadlines runs;
    time_point base { std::chrono::seconds(100) };
    std::vector<time_point> told;
    for (std::uint64_t id = 0; id < 50; ++id) {
        told.push_back(runs.begin(id, base + milliseconds(random() % 800)));
    }
    int right = 0;
    for (std::uint64_t id = 0; id < 50; ++id) {
        right += runs.find(echoed(told[id], random)) == id ? 1 : 0;
    }
    EXPECT_GE(right, 45);
}

TEST(RunDeadlines, ForgetsARunThatEnded)
{
    run_deadlines runs;
    auto told = runs.begin(1, time_point(std::chrono::seconds(1)));
    runs.end(1);
    EXPECT_FALSE(runs.find(told));
}

}
