#include "backend/backend_health.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;
    using std::chrono::milliseconds;

    void repeatProbe(backend_health& health, probe_result result, int count, time_point now)
    {
        for (int i = 0; i < count; ++i) {
            health.probed(result, now);
        }
    }

}

TEST(BackendHealth, BecomesUnhealthyAfterTwoRefusedConnectionsButNotAfterOneErrorAnswer)
{
    time_point now;
    backend_health health;
    health.probed(probe_result::Unhealthy, now);
    EXPECT_TRUE(health.isHealthy());
    repeatProbe(health, probe_result::Unreachable, 2, now);
    EXPECT_FALSE(health.isHealthy());
    health.probed(probe_result::Healthy, now);
    EXPECT_TRUE(health.isHealthy());
}

TEST(BackendHealth, IgnoresErrorAnswersWhileCallsAreAnswered)
{
    time_point now;
    backend_health health;
    health.callAnswered(now);
    repeatProbe(health, probe_result::Unhealthy, 20, now + milliseconds(900));
    EXPECT_TRUE(health.isHealthy());
    repeatProbe(health, probe_result::Unhealthy, 1, now + milliseconds(1000));
    EXPECT_FALSE(health.isHealthy());
}

}
