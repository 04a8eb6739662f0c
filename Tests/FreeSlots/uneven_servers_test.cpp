#include "FreeSlots/choice_model.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    // The load: 32 servers of one service, a quarter of them at half the speed of the others,
    // each on a machine that it shares and that is slow for parts of a second; 83 entries, so
    // that each pair of nodes speaks about once a second.
    choice_model_plan unevenServers(std::uint64_t seed, double load)
    {
        choice_model_plan plan;
        plan.seed = seed;
        plan.entries = 83;
        plan.targets = 32;
        plan.slots = 12;
        plan.load = load;
        plan.speeds = { 0.55, 1.2, 1.2, 1.2 };
        plan.meanWork = std::chrono::milliseconds(100);
        plan.slowPart = 0.15;
        plan.slowFactor = 2.5;
        return plan;
    }

    choice_model_result play(choice_model_plan plan, bool tellsPace)
    {
        plan.tellsPace = tellsPace;
        return choice_model(plan).run(std::chrono::seconds(6));
    }

    // What may come of chance in so many calls.
    constexpr double chance = 0.01;

}

// While there is room, callers wait for the time that a fast server needs, and not for the
// mean of fast, slow and disturbed ones.
TEST(UnevenServers, AnswerSoonerWhereTheyTellTheirPace)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        SCOPED_TRACE(seed);
        auto told = play(unevenServers(seed, 0.5), true);
        auto untold = play(unevenServers(seed, 0.5), false);
        EXPECT_LT(told.meanTime, untold.meanTime * 0.9);
        EXPECT_LT(told.time99, untold.time99 * 0.9);
        EXPECT_GT(told.answeredPart(), untold.answeredPart() - chance);
    }
}

// The fast ones are not overrun: neither near the capacity nor beyond it do fewer calls end well.
TEST(UnevenServers, AnswerAsManyNearTheCapacityAndBeyondIt)
{
    for (double load : { 0.75, 0.9, 1.3 }) {
        SCOPED_TRACE(load);
        auto told = play(unevenServers(1, load), true);
        auto untold = play(unevenServers(1, load), false);
        EXPECT_GT(told.answeredPart(), untold.answeredPart() - chance);
        EXPECT_LT(told.time99, untold.time99 * 1.05);
    }
}

}
