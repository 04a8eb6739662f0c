#include "decision/retry_allowance.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = retry_allowance::time_point;
    using std::chrono::milliseconds;

    constexpr milliseconds window { 10000 };

    // Long after the process started.
    constexpr time_point longAfterStart { std::chrono::seconds(100) };

    int takeAll(retry_allowance& allowance, const std::string& service, time_point now)
    {
        int taken = 0;
        while (taken < 1000 && allowance.take(service, now)) {
            ++taken;
        }
        return taken;
    }

}

TEST(RetryAllowance, SharesTheSlackAmongTheNodes)
{
    retry_allowance alone({ 0.2, 48, window }, {});
    EXPECT_EQ(takeAll(alone, "a", longAfterStart), 24);
    retry_allowance oneOfTwelve({ 0.2, 48, window }, {});
    oneOfTwelve.setNodes(12);
    EXPECT_EQ(takeAll(oneOfTwelve, "a", longAfterStart), 2);
}

TEST(RetryAllowance, GrowsWithTheServicesOwnRequests)
{
    retry_allowance allowance({ 0.2, 0, window }, {});
    for (int i = 0; i < 200; ++i) {
        allowance.requested("a", {});
    }
    EXPECT_EQ(takeAll(allowance, "a", {}), 10);
    EXPECT_EQ(takeAll(allowance, "b", {}), 0);
}

TEST(RetryAllowance, IsAvailableAgainAfterTheWindow)
{
    retry_allowance allowance({ 0.2, 4, window }, {});
    EXPECT_EQ(takeAll(allowance, "a", longAfterStart), 2);
    EXPECT_EQ(takeAll(allowance, "a", longAfterStart + window / 2), 0);
    EXPECT_EQ(takeAll(allowance, "a", longAfterStart + window + milliseconds(1000)), 2);
}

// In any window, the retries of all nodes together must not exceed the ratio of the requests
// plus the slack. Applies random load with random pauses to several nodes.
TEST(RetryAllowance, KeepsTheFleetWithinItsLimitInEveryWindow)
{
    constexpr int nodes = 5;
    constexpr double slack = 50;
    constexpr double ratio = 0.2;
    std::mt19937 random(11);
    std::vector<retry_allowance> fleet(nodes, retry_allowance({ ratio, slack, window }, {}));
    for (auto& allowance : fleet) {
        allowance.setNodes(nodes);
    }
    std::deque<time_point> requests;
    std::deque<time_point> retries;
    time_point now;
    for (int step = 0; step < 40000; ++step) {
        now += milliseconds(random() % (random() % 500 == 0 ? 3000 : 6));
        auto& node = fleet[random() % nodes];
        node.requested("a", now);
        requests.push_back(now);
        if (random() % 2 == 0 && node.take("a", now)) {
            retries.push_back(now);
        }
        while (requests.front() < now - window) {
            requests.pop_front();
        }
        while (!retries.empty() && retries.front() < now - window) {
            retries.pop_front();
        }
        ASSERT_LE(static_cast<double>(retries.size()), ratio * static_cast<double>(requests.size()) + slack);
    }
}

// Guards against nodes that use the whole slack before they know each other: when twelve nodes
// restarted together while every server lost answers, each took half of the slack for itself, and
// they made 343 retries where 293 were allowed.
TEST(RetryAllowance, HasNoSlackShortlyAfterTheStart)
{
    retry_allowance allowance({ 0.2, 48, window }, longAfterStart);
    EXPECT_EQ(takeAll(allowance, "a", longAfterStart + milliseconds(1500)), 0);
    EXPECT_EQ(takeAll(allowance, "a", longAfterStart + milliseconds(5000)), 24);
}

}
