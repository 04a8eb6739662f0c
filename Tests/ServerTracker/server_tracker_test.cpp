#include "backend/server_tracker.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    server_report reportOf(const std::string& instanceId, std::uint64_t sequence, server_condition condition = server_condition::Ready)
    {
        server_report report;
        report.instanceId = instanceId;
        report.sequence = sequence;
        report.condition = condition;
        report.service = "threads";
        report.slots = 10;
        return report;
    }

}

TEST(ServerTracker, IgnoresAReportThatIsLate)
{
    server_tracker tracker;
    EXPECT_EQ(tracker.report(reportOf("i-1", 5, server_condition::Draining)), report_effect::Leaving);
    EXPECT_EQ(tracker.report(reportOf("i-1", 4)), report_effect::Nothing);
    EXPECT_FALSE(tracker.takesWork());
}

TEST(ServerTracker, NeverTakesBackThatAServerLeaves)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 1));
    EXPECT_EQ(tracker.report(reportOf("i-1", 0, server_condition::Left)), report_effect::Leaving);
    EXPECT_EQ(tracker.report(reportOf("i-1", 2)), report_effect::Updated);
    EXPECT_FALSE(tracker.takesWork());
}

// A report that a cut held back comes after its sender crashed and another start
// registered at the same address.
TEST(ServerTracker, IgnoresAServerThatWasReplaced)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 7));
    EXPECT_EQ(tracker.report(reportOf("i-2", 1)), report_effect::Replaced);
    EXPECT_EQ(tracker.report(reportOf("i-1", 8)), report_effect::Nothing);
    EXPECT_EQ(tracker.current()->instanceId, "i-2");
    EXPECT_TRUE(tracker.takesWork());
}

// The process may have started after the old server's last report, and not know it.
TEST(ServerTracker, ReturnsToTheServerThatALateReportPushedAside)
{
    server_tracker tracker;
    tracker.report(reportOf("new", 3));
    tracker.report(reportOf("old", 9));
    EXPECT_EQ(tracker.current()->instanceId, "old");
    tracker.misdirected("old");
    ASSERT_TRUE(tracker.current());
    EXPECT_EQ(tracker.current()->instanceId, "new");
    EXPECT_EQ(tracker.report(reportOf("old", 10)), report_effect::Nothing);
    EXPECT_EQ(tracker.report(reportOf("new", 4)), report_effect::Updated);
}

TEST(ServerTracker, KnowsNobodyAfterTheOnlyServerWasAnother)
{
    server_tracker tracker;
    tracker.report(reportOf("i-1", 3));
    tracker.misdirected("i-1");
    EXPECT_FALSE(tracker.current());
    EXPECT_FALSE(tracker.takesWork());
}

}
