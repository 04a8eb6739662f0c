#include "FreeSlots/balancing_simulation.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    // 32 servers of one service, a quarter of them at half the speed of the others, each on a
    // shared machine that is slow for parts of a second. With 83 entries, each pair of nodes
    // communicates about once a second.
    balancing_simulation_plan unevenServers(std::uint64_t seed, double load)
    {
        balancing_simulation_plan plan;
        plan.seed = seed;
        plan.entries = 83;
        plan.targets = 32;
        plan.slots = 12;
        plan.load = load;
        plan.speeds = { 0.55, 1.2, 1.2, 1.2 };
        plan.meanWork = std::chrono::milliseconds(100);
        plan.slowFraction = 0.15;
        plan.slowFactor = 2.5;
        return plan;
    }

    balancing_simulation_result simulate(balancing_simulation_plan plan, bool reportsSpeed)
    {
        plan.reportsSpeed = reportsSpeed;
        return balancing_simulation(plan).run(std::chrono::seconds(6));
    }

    // Random variation to be expected with this number of calls.
    constexpr double tolerance = 0.01;

}

// While slots are free, callers wait for the time that a fast server needs and not for the mean
// of fast, slow and disturbed servers.
TEST(UnevenServers, AnswerSoonerIfTheyReportTheirSpeed)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        SCOPED_TRACE(seed);
        auto withReports = simulate(unevenServers(seed, 0.5), true);
        auto withoutReports = simulate(unevenServers(seed, 0.5), false);
        EXPECT_LT(withReports.meanLatency, withoutReports.meanLatency * 0.9);
        EXPECT_LT(withReports.latency99, withoutReports.latency99 * 0.9);
        EXPECT_GT(withReports.answeredFraction(), withoutReports.answeredFraction() - tolerance);
    }
}

// Fast servers are not overloaded: reports reduce the number of answered calls neither near the
// capacity nor beyond it.
TEST(UnevenServers, AnswerAsManyCallsNearTheCapacityAndBeyondIt)
{
    for (double load : { 0.75, 0.9, 1.3 }) {
        SCOPED_TRACE(load);
        auto withReports = simulate(unevenServers(1, load), true);
        auto withoutReports = simulate(unevenServers(1, load), false);
        EXPECT_GT(withReports.answeredFraction(), withoutReports.answeredFraction() - tolerance);
        EXPECT_LT(withReports.latency99, withoutReports.latency99 * 1.05);
    }
}

}
