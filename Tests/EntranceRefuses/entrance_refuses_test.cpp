#include "admission/entrance_gate.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr std::chrono::steady_clock::time_point start { std::chrono::hours(1) };
    constexpr shedding_position confirmedBase = 2 * positionsPerImportance;

    entrance_request asked(shedding_position position, const std::string& organisation = "hotel")
    {
        return { organisation, "reply", position, start + std::chrono::seconds(10) };
    }

    // A gate whose every chance falls the same way.
    entrance_gate gateWithChance(std::uint64_t chance)
    {
        return entrance_gate({ admission_policy::Full, [chance](std::uint64_t bound) { return std::min(chance, bound - 1); } });
    }

    void learn(entrance_gate& gate, shedding_position cut)
    {
        gate.recordCut(asked(0), { cut, milliseconds(400) }, start);
    }

}

TEST(EntranceRefuses, WhatTheDeepestServiceWouldShed)
{
    auto gate = gateWithChance(1000000);
    EXPECT_FALSE(gate.refusal(asked(0), start));
    learn(gate, confirmedBase);
    auto refusal = gate.refusal(asked(100), start);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->run, execution::NotRun);
    EXPECT_EQ(refusal->reason, verdict_reason::Overload);
    // Spread from half of the advice up to one and a half of it.
    EXPECT_EQ(refusal->retryAfter, milliseconds(600));
    EXPECT_FALSE(gate.refusal(asked(confirmedBase), start));
    EXPECT_FALSE(gate.refusal(asked(100, "another hotel"), start));
}

TEST(EntranceRefuses, NothingOnceTheNewsIsOld)
{
    auto gate = gateWithChance(1000000);
    learn(gate, sheddingPositionCount);
    EXPECT_TRUE(gate.refusal(asked(confirmedBase), start + milliseconds(150)));
    EXPECT_FALSE(gate.refusal(asked(confirmedBase), start + milliseconds(400)));
    EXPECT_FALSE(gate.refusal(asked(0), start + milliseconds(1500)));
}

TEST(EntranceRefuses, LetsAFewThroughThatCouldBeAdmittedNext)
{
    auto gate = gateWithChance(0);
    learn(gate, confirmedBase + 100);
    EXPECT_FALSE(gate.refusal(asked(confirmedBase), start));
    EXPECT_EQ(gate.counters().probes, 1);
    EXPECT_TRUE(gate.refusal(asked(confirmedBase - 1), start));
}

TEST(EntranceRefuses, WhatCannotFinishInTime)
{
    auto gate = gateWithChance(1000000);
    auto request = asked(0);
    gate.recordDuration(request, milliseconds(80), start);
    gate.recordDuration(request, milliseconds(60), start);
    request.deadline = start + milliseconds(59);
    auto refusal = gate.refusal(request, start);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, verdict_reason::DeadlineTooShort);
    request.deadline = start + milliseconds(60);
    EXPECT_FALSE(gate.refusal(request, start));
    // A time that nobody confirms is forgotten, or nothing would be tried again.
    request.deadline = start + milliseconds(1010);
    EXPECT_FALSE(gate.refusal(request, start + milliseconds(1000)));
}

TEST(EntranceRefuses, NothingByTheOtherPolicies)
{
    entrance_gate gate({ admission_policy::Hop, [](std::uint64_t) { return 1; } });
    gate.recordCut(asked(0), { sheddingPositionCount, milliseconds(400) }, start);
    EXPECT_FALSE(gate.refusal(asked(0), start));
}

}
