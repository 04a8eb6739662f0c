#include "backend/server_tracker.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    server_report reportOf(const std::string& instanceId, std::uint64_t sequence, server_condition condition = server_condition::Ready)
    {
        server_report report;
        report.start.instanceId = instanceId;
        report.sequence = sequence;
        report.condition = condition;
        report.service = "threads";
        report.slots = 10;
        return report;
    }

    server_tracker::wall_time wallTime(int seconds)
    {
        return server_tracker::wall_time(std::chrono::seconds(seconds));
    }

    // A report of the start of server i-1 that began this many seconds after the epoch.
    server_report reportOfStart(int bornSeconds, std::uint64_t sequence, server_condition condition = server_condition::Ready)
    {
        auto report = reportOf("i-1", sequence, condition);
        report.start.born = std::chrono::system_clock::time_point(std::chrono::seconds(bornSeconds));
        return report;
    }

}

TEST(ServerTracker, IgnoresAnOutdatedReport)
{
    server_tracker tracker;
    EXPECT_EQ(tracker.report(reportOf("i-1", 5, server_condition::Draining)), report_effect::Leaving);
    EXPECT_EQ(tracker.report(reportOf("i-1", 4)), report_effect::Nothing);
    EXPECT_FALSE(tracker.takesWork());
}

TEST(ServerTracker, KeepsALeavingServerLeaving)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 1));
    EXPECT_EQ(tracker.report(reportOf("i-1", 0, server_condition::Left)), report_effect::Leaving);
    EXPECT_EQ(tracker.report(reportOf("i-1", 2)), report_effect::Updated);
    EXPECT_FALSE(tracker.takesWork());
}

// A report delayed by a network partition arrives after its sender crashed and another server
// registered at the same address.
TEST(ServerTracker, IgnoresAReplacedServer)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 7));
    EXPECT_EQ(tracker.report(reportOf("i-2", 1)), report_effect::Replaced);
    EXPECT_EQ(tracker.report(reportOf("i-1", 8)), report_effect::Nothing);
    EXPECT_EQ(tracker.current()->start.instanceId, "i-2");
    EXPECT_TRUE(tracker.takesWork());
}

// A process that started after the old server was replaced takes the old server's delayed report for a
// new start.
TEST(ServerTracker, RestoresTheServerThatADelayedReportReplaced)
{
    server_tracker tracker;
    tracker.report(reportOf("new", 3));
    tracker.report(reportOf("old", 9));
    EXPECT_EQ(tracker.current()->start.instanceId, "old");
    tracker.misdirected({ "old" });
    ASSERT_TRUE(tracker.current());
    EXPECT_EQ(tracker.current()->start.instanceId, "new");
    EXPECT_EQ(tracker.report(reportOf("old", 10)), report_effect::Nothing);
    EXPECT_EQ(tracker.report(reportOf("new", 4)), report_effect::Updated);
}

TEST(ServerTracker, KnowsNoServerAfterTheOnlyOneWasMisdirected)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 3));
    tracker.misdirected({ "i-1" });
    EXPECT_FALSE(tracker.current());
    EXPECT_FALSE(tracker.takesWork());
}

// A server that restarts under the same id restarts its sequence numbers.
TEST(ServerTracker, AcceptsALaterStartOfTheSameIdWithAnySequence)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 900));
    EXPECT_EQ(tracker.report(reportOfStart(20, 1)), report_effect::Replaced);
    EXPECT_EQ(tracker.report(reportOfStart(20, 2)), report_effect::Updated);
    EXPECT_TRUE(tracker.takesWork());
}

TEST(ServerTracker, AcceptsALaterStartOfAServerThatLeft)
{
    for (auto lastCondition : { server_condition::Draining, server_condition::Left }) {
        server_tracker tracker;
        tracker.report(reportOfStart(10, 5));
        tracker.report(reportOfStart(10, 6, lastCondition));
        EXPECT_FALSE(tracker.takesWork());
        EXPECT_EQ(tracker.report(reportOfStart(20, 1)), report_effect::Replaced);
        EXPECT_TRUE(tracker.takesWork());
    }
}

TEST(ServerTracker, IgnoresAllReportsOfAnEarlierStartOfTheSameId)
{
    server_tracker tracker;
    tracker.report(reportOfStart(20, 1));
    for (auto condition : { server_condition::Ready, server_condition::Draining, server_condition::Left }) {
        EXPECT_EQ(tracker.report(reportOfStart(10, 900, condition)), report_effect::Nothing);
        EXPECT_TRUE(tracker.takesWork());
    }
    EXPECT_EQ(tracker.current()->sequence, 1U);
}

// A server with another id is current in between.
TEST(ServerTracker, AcceptsALaterStartOfAReplacedId)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 7));
    tracker.report(reportOf("i-2", 1));
    EXPECT_EQ(tracker.report(reportOfStart(10, 8)), report_effect::Nothing);
    EXPECT_EQ(tracker.report(reportOfStart(20, 1)), report_effect::Replaced);
    EXPECT_EQ(tracker.current()->start.instanceId, "i-1");
}

TEST(ServerTracker, AppliesADeregistrationOfALaterStartToTheServer)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 7));
    EXPECT_EQ(tracker.report(reportOfStart(20, 0, server_condition::Left)), report_effect::Leaving);
    EXPECT_EQ(tracker.report(reportOfStart(10, 8)), report_effect::Nothing);
    EXPECT_EQ(tracker.report(reportOfStart(20, 1)), report_effect::Updated);
    EXPECT_FALSE(tracker.takesWork());
}

// The deregistration may be from the current start, and sending it no requests is safe.
TEST(ServerTracker, AppliesADeregistrationWithoutAStartTime)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 7));
    EXPECT_EQ(tracker.report(reportOf("i-1", 0, server_condition::Left)), report_effect::Leaving);
    EXPECT_FALSE(tracker.takesWork());
    EXPECT_EQ(tracker.report(reportOfStart(10, 8)), report_effect::Updated);
    EXPECT_FALSE(tracker.takesWork());
    EXPECT_EQ(tracker.report(reportOfStart(20, 1)), report_effect::Replaced);
}

// A server that reports its start time does so in every report.
TEST(ServerTracker, RejectsAHeartbeatThatLacksTheExpectedStartTime)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 7));
    EXPECT_EQ(tracker.report(reportOf("i-1", 900, server_condition::Draining)), report_effect::Unclear);
    EXPECT_TRUE(tracker.takesWork());
    EXPECT_EQ(tracker.current()->sequence, 7U);
}

TEST(ServerTracker, DoesNotRestoreAnEarlierStartOfTheMisdirectedServer)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 7));
    tracker.report(reportOfStart(20, 1));
    tracker.misdirected(reportOfStart(20, 1).start);
    EXPECT_FALSE(tracker.current());
}

// The node itself detects the end, before any report. No requests are sent to a closed port.
TEST(ServerTracker, SendsNothingToAnEndedServerUntilItReports)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 1));
    tracker.ended({ "i-0" });
    EXPECT_TRUE(tracker.takesWork());
    tracker.ended({ "i-1" });
    EXPECT_FALSE(tracker.takesWork());
    EXPECT_EQ(tracker.report(reportOf("i-1", 1)), report_effect::Nothing);
    EXPECT_FALSE(tracker.takesWork());
    // A newer report shows that the server is still running.
    EXPECT_EQ(tracker.report(reportOf("i-1", 2)), report_effect::Updated);
    EXPECT_TRUE(tracker.takesWork());
    tracker.ended({ "i-1" });
    EXPECT_EQ(tracker.report(reportOf("i-2", 1)), report_effect::Replaced);
    EXPECT_TRUE(tracker.takesWork());
}

// The first report to a node process that has just started is a deregistration without a start time. A
// heartbeat that the server sent earlier arrives after it. The deregistration may have been
// acknowledged, so the server must not get any new requests.
TEST(ServerTracker, IgnoresADelayedReportOfAServerThatDeregisteredBeforeItWasKnown)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 0, server_condition::Left));
    tracker.report(reportOfStart(10, 5));
    EXPECT_FALSE(tracker.takesWork());
}

// A deregistration of an unknown server must not block the next start with the same id.
TEST(ServerTracker, AcceptsTheNextStartOfAServerThatDeregisteredBeforeItWasKnown)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 0, server_condition::Left), wallTime(30));
    tracker.report(reportOfStart(10, 5), wallTime(31));
    EXPECT_FALSE(tracker.takesWork());
    EXPECT_EQ(tracker.report(reportOfStart(34, 1), wallTime(35)), report_effect::Replaced);
    EXPECT_TRUE(tracker.takesWork());
    EXPECT_EQ(tracker.report(reportOfStart(10, 6), wallTime(36)), report_effect::Nothing);
    EXPECT_TRUE(tracker.takesWork());
}

// A delayed report must not bring back a deregistered start that is later than the known one.
TEST(ServerTracker, IgnoresADelayedReportOfAnUnknownStartThatDeregistered)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 7), wallTime(20));
    EXPECT_EQ(tracker.report(reportOf("i-1", 0, server_condition::Left), wallTime(30)), report_effect::Leaving);
    EXPECT_EQ(tracker.report(reportOfStart(25, 1), wallTime(31)), report_effect::Nothing);
    EXPECT_FALSE(tracker.takesWork());
    EXPECT_EQ(tracker.report(reportOfStart(34, 1), wallTime(35)), report_effect::Replaced);
    EXPECT_TRUE(tracker.takesWork());
}

// Setting the clock back by an hour after a deregistration must not block the next start.
TEST(ServerTracker, AcceptsTheNextStartAfterTheClockWasSetBack)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 0, server_condition::Left), wallTime(3630));
    EXPECT_EQ(tracker.report(reportOfStart(34, 1), wallTime(35)), report_effect::Replaced);
    EXPECT_TRUE(tracker.takesWork());
}

// Guards against requests to a draining server, whose reports are ignored while a delayed report of a crashed
// start counts as the newer start.
TEST(ServerTracker, KeepsWhatAReplacedServerReportsUntilItIsRestored)
{
    for (auto condition : { server_condition::Draining, server_condition::Left }) {
        server_tracker tracker;
        tracker.report(reportOf("running", 3));
        EXPECT_EQ(tracker.report(reportOf("crashed", 1)), report_effect::Replaced);
        EXPECT_EQ(tracker.report(reportOf("running", 4, condition)), report_effect::LeavingUnknown);
        tracker.report(reportOf("running", 5));
        tracker.misdirected({ "crashed" });
        EXPECT_FALSE(tracker.takesWork());
    }
}

// The same, where the deregistration names no start, and is older than the time for which deregistrations are kept.
TEST(ServerTracker, KeepsTheDeregistrationOfAReplacedServer)
{
    server_tracker tracker;
    tracker.report(reportOfStart(10, 3), wallTime(20));
    tracker.report(reportOf("crashed", 1), wallTime(21));
    tracker.report(reportOf("i-1", 0, server_condition::Left), wallTime(22));
    tracker.report(reportOf("crashed", 2), wallTime(300));
    tracker.misdirected({ "crashed" });
    EXPECT_FALSE(tracker.takesWork());
}

// Guards against a sound server that gets no requests, since delayed reports of several crashed starts came.
TEST(ServerTracker, RestoresTheServerBehindSeveralDelayedReports)
{
    server_tracker tracker;
    tracker.report(reportOf("running", 3));
    tracker.report(reportOf("crashed-1", 1));
    tracker.report(reportOf("crashed-2", 1));
    tracker.misdirected({ "crashed-2" });
    tracker.misdirected({ "crashed-1" });
    EXPECT_TRUE(tracker.takesWork());
    EXPECT_EQ(tracker.current()->start.instanceId, "running");
    tracker.report(reportOf("crashed-1", 2));
    EXPECT_EQ(tracker.current()->start.instanceId, "running");
}

// The server answers a request for a replaced start late.
TEST(ServerTracker, DoesNotRestoreAReplacedStartThatHasEnded)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 3));
    tracker.report(reportOf("i-2", 1));
    tracker.misdirected({ "i-1" });
    EXPECT_TRUE(tracker.takesWork());
    tracker.misdirected({ "i-2" });
    EXPECT_FALSE(tracker.current());
}

// Guards against a sound server that gets no requests for good, since a delayed report of an earlier server
// says that it drains.
TEST(ServerTracker, DoesNotReplaceAServerByAnUnknownOneThatDrains)
{
    server_tracker tracker;
    tracker.report(reportOf("running", 3));
    EXPECT_EQ(tracker.report(reportOf("earlier", 9, server_condition::Draining)), report_effect::LeavingUnknown);
    EXPECT_TRUE(tracker.takesWork());
    EXPECT_EQ(tracker.current()->start.instanceId, "running");
    // Whatever that server sent before does not make it ready.
    EXPECT_EQ(tracker.report(reportOf("earlier", 8)), report_effect::Nothing);
    tracker.misdirected({ "running" });
    EXPECT_FALSE(tracker.takesWork());
}

// Guards against an acknowledged report that has no effect: reports arrive in any order, and a server without
// start time may have started again by its id, with lower sequence numbers.
TEST(ServerTracker, AppliesAnOutdatedReportThatAServerDrains)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 900));
    EXPECT_EQ(tracker.report(reportOf("i-1", 5, server_condition::Draining)), report_effect::Leaving);
    EXPECT_FALSE(tracker.takesWork());
    EXPECT_EQ(tracker.current()->sequence, 900U);
}

}
