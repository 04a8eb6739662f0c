#include "node/planned_stop.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;
    using std::chrono::milliseconds;

}

TEST(PlannedStop, OperatorRequestCanBeWithdrawnButSignalCannot)
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

TEST(PlannedStop, ExitsWhenIdleAfterThePropagationTimeOrAtTheDrainTimeout)
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

// Guards against a node that refuses work as soon as it is signalled. Its backend server then
// gets no work until it reports to the new process, about four seconds later. When the nodes of
// a service were stopped one after the other, 1.3 s apart, while an availability zone was cut
// off, two backend servers at a time were idle, and only 44% of the requests were served.
TEST(PlannedStop, AcceptsWorkForTheAcceptTimeAfterTheSignal)
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

TEST(PlannedStop, RefusesWorkAtOnceForOtherReasonsOrWithoutAcceptTime)
{
    time_point now;
    planned_stop stop { milliseconds(5400), milliseconds(2600), milliseconds(1600) };
    stop.request(stop_reason::Signal, now);
    stop.request(stop_reason::BackendServer, now);
    EXPECT_TRUE(stop.refusesWork(now));
    planned_stop withoutAcceptTime { milliseconds(30000) };
    withoutAcceptTime.request(stop_reason::Signal, now);
    EXPECT_TRUE(withoutAcceptTime.refusesWork(now));
}

}
