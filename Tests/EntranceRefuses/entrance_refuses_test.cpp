#include "admission/entrance_gate.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr std::chrono::steady_clock::time_point start { std::chrono::hours(1) };
    constexpr shedding_position confirmedBase = 2 * positionsPerImportance;

    entrance_request makeRequest(shedding_position position, const std::string& organisation = "hotel")
    {
        return { organisation, "reply", position, start + std::chrono::seconds(10) };
    }

    // A gate whose random numbers are all the given one, or the highest allowed below it.
    entrance_gate gateWithRandom(std::uint64_t number)
    {
        return entrance_gate({ admission_policy::Full, [number](std::uint64_t bound) { return std::min(number, bound - 1); } });
    }

    void setCut(entrance_gate& gate, shedding_position cut)
    {
        gate.recordCut(makeRequest(0), { cut, milliseconds(400) }, start);
    }

}

TEST(EntranceRefuses, WhatTheDeepestServiceWouldShed)
{
    auto gate = gateWithRandom(1000000);
    EXPECT_FALSE(gate.refusal(makeRequest(0), start));
    setCut(gate, confirmedBase);
    auto refusal = gate.refusal(makeRequest(100), start);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->run, execution::NotRun);
    EXPECT_EQ(refusal->reason, verdict_reason::Overload);
    // The jitter is from half to one and a half of the retry delay; this is its maximum.
    EXPECT_EQ(refusal->retryAfter, milliseconds(600));
    EXPECT_FALSE(gate.refusal(makeRequest(confirmedBase), start));
    EXPECT_FALSE(gate.refusal(makeRequest(100, "another hotel"), start));
}

TEST(EntranceRefuses, NothingOnceTheCutHasDecayed)
{
    auto gate = gateWithRandom(1000000);
    setCut(gate, sheddingPositionCount);
    EXPECT_TRUE(gate.refusal(makeRequest(confirmedBase), start + milliseconds(150)));
    EXPECT_FALSE(gate.refusal(makeRequest(confirmedBase), start + milliseconds(400)));
    EXPECT_FALSE(gate.refusal(makeRequest(0), start + milliseconds(1500)));
}

TEST(EntranceRefuses, LetsAFewThroughThatCouldBeAdmittedNext)
{
    auto gate = gateWithRandom(0);
    setCut(gate, confirmedBase + 100);
    EXPECT_FALSE(gate.refusal(makeRequest(confirmedBase), start));
    EXPECT_EQ(gate.counters().probes, 1);
    EXPECT_TRUE(gate.refusal(makeRequest(confirmedBase - 1), start));
}

TEST(EntranceRefuses, WhatCannotFinishInTime)
{
    auto gate = gateWithRandom(1000000);
    auto request = makeRequest(0);
    gate.recordDuration(request, milliseconds(80), start);
    gate.recordDuration(request, milliseconds(60), start);
    request.deadline = start + milliseconds(59);
    auto refusal = gate.refusal(request, start);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, verdict_reason::DeadlineTooShort);
    request.deadline = start + milliseconds(60);
    EXPECT_FALSE(gate.refusal(request, start));
    // A duration expires if it is not recorded again; otherwise no request would be tried.
    request.deadline = start + milliseconds(1010);
    EXPECT_FALSE(gate.refusal(request, start + milliseconds(1000)));
}

TEST(EntranceRefuses, NothingByTheOtherPolicies)
{
    entrance_gate gate({ admission_policy::Hop, [](std::uint64_t) { return 1; } });
    gate.recordCut(makeRequest(0), { sheddingPositionCount, milliseconds(400) }, start);
    EXPECT_FALSE(gate.refusal(makeRequest(0), start));
}

}
