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

// The load: the nodes of a service are stopped one after the other, 1.3 s apart, while a
// zone is cut off, and their servers go on beside them. Each was without a node from the
// signal until its next report to the new process, some four seconds; two at a time
// left the service without a server, and 44% were served.
TEST(PlannedStop, WorksOnUntilTheRunsJustEndBeforeTheExit)
{
    time_point now;
    planned_stop stop { milliseconds(5400), milliseconds(2600), milliseconds(1600) };
    EXPECT_FALSE(stop.refusesWork(now));
    stop.request(stop_reason::Signal, now);
    EXPECT_TRUE(stop.draining());
    EXPECT_FALSE(stop.refusesWork(now + milliseconds(1599)));
    EXPECT_TRUE(stop.refusesWork(now + milliseconds(1600)));
    EXPECT_FALSE(stop.mayExit(true, now + milliseconds(1600)));
}

TEST(PlannedStop, RefusesWorkAtOnceForAnyOtherReason)
{
    time_point now;
    planned_stop stop { milliseconds(5400), milliseconds(2600), milliseconds(1600) };
    stop.request(stop_reason::Signal, now);
    stop.request(stop_reason::BackendServer, now);
    EXPECT_TRUE(stop.refusesWork(now));
    planned_stop plain { milliseconds(30000) };
    plain.request(stop_reason::Signal, now);
    EXPECT_TRUE(plain.refusesWork(now));
}

}
