#include "node/planned_stop.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;
    using std::chrono::milliseconds;

}

TEST(PlannedStop, APausedServerMayBeTakenBackAndASignalMayNot)
{
    time_point now;
    planned_stop stop { milliseconds(30000) };
    stop.request(stop_reason::Operator, now);
    EXPECT_TRUE(stop.draining());
    EXPECT_FALSE(stop.exiting());
    stop.withdraw(stop_reason::Operator);
    EXPECT_FALSE(stop.draining());
    stop.request(stop_reason::Signal, now);
    stop.withdraw(stop_reason::Signal);
    EXPECT_TRUE(stop.exiting());
}

TEST(PlannedStop, ExitsWhenIdleAndTheNewsIsOutOrAtTheTimeout)
{
    time_point now;
    planned_stop stop { milliseconds(30000) };
    stop.request(stop_reason::Signal, now);
    EXPECT_FALSE(stop.mayExit(true, now));
    EXPECT_FALSE(stop.mayClosePorts(now + milliseconds(1499)));
    EXPECT_TRUE(stop.mayExit(true, now + milliseconds(1500)));
    EXPECT_FALSE(stop.mayExit(false, now + milliseconds(29999)));
    EXPECT_TRUE(stop.mayExit(false, now + milliseconds(30000)));
}

}
