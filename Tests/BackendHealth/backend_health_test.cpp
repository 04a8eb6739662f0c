#include "backend/backend_health.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;
    using std::chrono::milliseconds;

    void probeTimes(backend_health& health, probe_result result, int times, time_point now)
    {
        for (int i = 0; i < times; ++i) {
            health.probed(result, now);
        }
    }

}

TEST(BackendHealth, OneBadAnswerSaysLittleAndRefusedConnectionsMuch)
{
    time_point now;
    backend_health health;
    health.probed(probe_result::Unwell, now);
    EXPECT_TRUE(health.isHealthy());
    probeTimes(health, probe_result::Unreachable, 2, now);
    EXPECT_FALSE(health.isHealthy());
    health.probed(probe_result::Well, now);
    EXPECT_TRUE(health.isHealthy());
}

TEST(BackendHealth, AnEndpointThatLiesIsNotBelievedWhileCallsAreAnswered)
{
    time_point now;
    backend_health health;
    health.callAnswered(now);
    probeTimes(health, probe_result::Unwell, 20, now + milliseconds(900));
    EXPECT_TRUE(health.isHealthy());
    probeTimes(health, probe_result::Unwell, 1, now + milliseconds(1000));
    EXPECT_FALSE(health.isHealthy());
}

}
