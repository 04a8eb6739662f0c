#include "decision/retry_allowance.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = retry_allowance::time_point;
    using std::chrono::milliseconds;

    constexpr milliseconds window { 10000 };

    // Long after the start of the process.
    constexpr time_point settled { std::chrono::seconds(100) };

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
    EXPECT_EQ(takeAll(alone, "a", settled), 24);
    retry_allowance oneOfTwelve({ 0.2, 48, window }, {});
    oneOfTwelve.setNodes(12);
    EXPECT_EQ(takeAll(oneOfTwelve, "a", settled), 2);
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

TEST(RetryAllowance, IsThereAgainWhenTheWindowHasPassed)
{
    retry_allowance allowance({ 0.2, 4, window }, {});
    EXPECT_EQ(takeAll(allowance, "a", settled), 2);
    EXPECT_EQ(takeAll(allowance, "a", settled + window / 2), 0);
    EXPECT_EQ(takeAll(allowance, "a", settled + window + milliseconds(1000)), 2);
}

// The rule that all nodes keep together: in any window, repeats are within the ratio
// of the requests and the slack. Random load on several nodes with random pauses.
TEST(RetryAllowance, HoldsTheFleetsBoundInEveryWindow)
{
    constexpr int nodes = 5;
    constexpr double slack = 50;
    constexpr double ratio = 0.2;
    std::mt19937 random(11);
    std::vector<retry_allowance> fleet(nodes, retry_allowance({ ratio, slack, window }, {}));
    for (auto& each : fleet) {
        each.setNodes(nodes);
    }
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
    time_point now;
    for (int step = 0; step < 40000; ++step) {
        now += milliseconds(random() % (random() % 500 == 0 ? 3000 : 6));
        auto& node = fleet[random() % nodes];
        node.requested("a", now);
        requests.push_back(now);
        if (random() % 2 == 0 && node.take("a", now)) {
            repeats.push_back(now);
        }
        while (requests.front() < now - window) {
            requests.pop_front();
        }
        while (!repeats.empty() && repeats.front() < now - window) {
            repeats.pop_front();
        }
        ASSERT_LE(static_cast<double>(repeats.size()), ratio * static_cast<double>(requests.size()) + slack);
    }
}

// The load: all machines lose power and start again while every server loses answers.
// Each of twelve nodes knew nobody at first and took half of the slack for its own:
// 343 repeats where 293 were allowed.
TEST(RetryAllowance, OfANodeThatHasJustStartedHasNoSlack)
{
    retry_allowance allowance({ 0.2, 48, window }, settled);
    EXPECT_EQ(takeAll(allowance, "a", settled + milliseconds(1500)), 0);
    EXPECT_EQ(takeAll(allowance, "a", settled + milliseconds(5000)), 24);
}

}
