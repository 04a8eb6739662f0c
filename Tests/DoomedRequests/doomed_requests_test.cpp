#include "admission/chain_chance.h"
#include "admission/refused_requests.h"
#include "admission/request_chances.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    constexpr time_point start { std::chrono::seconds(100) };
    constexpr double leastChance = 0.2;

    request_fingerprint content(std::uint64_t value)
    {
        return { value };
    }

    // What a node learns in calm of approvals that make eight lookups each.
    chain_chance calmNode()
    {
        chain_chance node;
        for (int i = 0; i < 50; ++i) {
            node.succeeded("approval", { { "lookup", 8 } });
        }
        return node;
    }

}

// Servers of a deep service refuse half of what they get, at random.
TEST(DoomedRequests, AreKnownByTheChanceOfTheirCalls)
{
    auto node = calmNode();
    EXPECT_DOUBLE_EQ(node.get("approval", start), 1);
    auto now = start;
    // As many calls as come in a tenth of a second.
    for (int i = 0; i < 60; ++i) {
        now += milliseconds(2);
        node.called("lookup", 0.5, now);
    }
    EXPECT_LT(node.get("approval", now), 0.02);
    // A class that makes none of these calls is not meant.
    EXPECT_DOUBLE_EQ(node.get("report", now), 1);
}

TEST(DoomedRequests, AreTriedAgainOnceNobodyConfirmsTheTrouble)
{
    auto node = calmNode();
    for (int i = 0; i < 100; ++i) {
        node.called("lookup", 0.5, start);
    }
    EXPECT_LT(node.get("approval", start), 0.01);
    EXPECT_GT(node.get("approval", start + milliseconds(2000)), 0.5);
    // Calls that end well tell it sooner.
    auto now = start;
    for (int i = 0; i < 60; ++i) {
        now += milliseconds(5);
        node.called("lookup", 1, now);
    }
    EXPECT_GT(node.get("approval", now), 0.7);
}

// The own server refuses; the next node above sees it as the chance of its calls.
TEST(DoomedRequests, TellTheChanceOfTheOwnServer)
{
    chain_chance node;
    auto now = start;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(2);
        node.ended(i % 2 == 0, now);
    }
    EXPECT_NEAR(node.get("lookup", now), 0.5, 0.1);
}

// One server of many that fails all its calls dooms no request: the mean over all counts.
TEST(DoomedRequests, AreNotMadeByOneServerAmongMany)
{
    auto node = calmNode();
    auto now = start;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds(1);
        node.called("lookup", i % 40 == 0 ? 0.5 : 1, now);
    }
    EXPECT_GT(node.get("approval", now), 0.6);
}

// A zone that is cut off has no server of the called service.
TEST(DoomedRequests, AreThoseWhoseCalledServiceNobodyReaches)
{
    chain_chance node;
    node.succeeded("approval", { { "lookup", 1 } });
    for (int i = 0; i < 20; ++i) {
        node.called("lookup", 0, start);
    }
    EXPECT_LT(node.get("approval", start), 0.05);
}

TEST(DoomedRequests, ThatMayNotRunTwiceAreRefusedFirst)
{
    request_chances chances(leastChance);
    for (int i = 0; i < 10; ++i) {
        chances.told("approval", 0.15, start);
        chances.told("read", 0.15, start);
    }
    // The first goes through to show whether the trouble is over.
    EXPECT_FALSE(chances.refuses("approval", false, start));
    EXPECT_TRUE(chances.refuses("approval", false, start));
    // Two tries at once have a chance of 0.28 together.
    EXPECT_FALSE(chances.refuses("read", true, start));
    EXPECT_FALSE(chances.refuses("read", true, start));
}

TEST(DoomedRequests, AreProbedSoThatTheEndOfTheTroubleIsSeen)
{
    request_chances chances(leastChance);
    int passed = 0;
    auto now = start;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(1);
        chances.told("approval", 0.01, now);
        passed += chances.refuses("approval", false, now) ? 0 : 1;
    }
    EXPECT_GE(passed, 4);
    EXPECT_LE(passed, 12);
    // A few good answers open the way again.
    for (int i = 0; i < 4; ++i) {
        chances.told("approval", 1, now);
    }
    EXPECT_FALSE(chances.refuses("approval", false, now));
    EXPECT_FALSE(chances.refuses("approval", false, now));
}

TEST(DoomedRequests, AreLetInWhenTheyComeBackOnceForEachRefusal)
{
    refused_requests refused;
    refused.refused(content(1), start);
    refused.refused(content(1), start);
    refused.refused(content(2), start);
    EXPECT_TRUE(refused.takeReturn(content(1), start + milliseconds(1500)));
    EXPECT_TRUE(refused.takeReturn(content(1), start + milliseconds(1500)));
    EXPECT_FALSE(refused.takeReturn(content(1), start + milliseconds(1500)));
    EXPECT_FALSE(refused.takeReturn(content(3), start + milliseconds(1500)));
    EXPECT_FALSE(refused.takeReturn(content(2), start + milliseconds(6000)));
    EXPECT_EQ(refused.size(), 0U);
}

TEST(DoomedRequests, TakeBoundedMemory)
{
    refused_requests refused;
    for (std::uint64_t i = 0; i < 100000; ++i) {
        refused.refused(content(i), start);
    }
    EXPECT_LE(refused.size(), 5000U);
    EXPECT_TRUE(refused.takeReturn(content(99999), start));
    EXPECT_FALSE(refused.takeReturn(content(0), start));
}

}
