#include "platform/load_header.h"
#include "platform/request_headers.h"
#include "routing/expected_response_time.h"
#include "routing/relative_pace.h"
#include "routing/server_pace.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    constexpr std::uint32_t slots = 20;
    constexpr time_point start { std::chrono::seconds(100) };

    server_load loadOf(std::uint32_t running, double slowdown)
    {
        return { running, 0, slots, slowdown };
    }

}

// A server shares its machine with others, which makes it two and a half times as slow for fractions
// of a second.
TEST(ServerPace, IsSlowOnlyWhileTheServerReportsIt)
{
    server_pace pace;
    EXPECT_FALSE(pace.isSpeedKnown(start));
    pace.updateLoad(loadOf(5, 2.5), slots, 5, start);
    EXPECT_TRUE(pace.isSpeedKnown(start));
    EXPECT_TRUE(pace.isSlow(start + milliseconds(100)));
    EXPECT_DOUBLE_EQ(pace.slowdown(start + milliseconds(100)), 2.5);
    // Without further reports the current speed is unknown.
    EXPECT_FALSE(pace.isSlow(start + milliseconds(400)));
    pace.updateLoad(loadOf(5, 1), slots, 5, start + milliseconds(500));
    EXPECT_FALSE(pace.isSlow(start + milliseconds(500)));
}

TEST(ServerPace, IgnoresReportsThatContradictTheNodesOwnCounts)
{
    server_pace pace;
    pace.updateLoad(loadOf(0, 2.5), slots, 20, start);
    EXPECT_EQ(pace.contradictions(), 1U);
    EXPECT_FALSE(pace.isSlow(start));
    // The next report is ignored, too. Reports are accepted again after a while.
    pace.updateLoad(loadOf(20, 2.5), slots, 20, start + milliseconds(100));
    EXPECT_FALSE(pace.isSlow(start + milliseconds(100)));
    pace.updateLoad(loadOf(20, 2.5), slots, 20, start + milliseconds(1200));
    EXPECT_TRUE(pace.isSlow(start + milliseconds(1200)));
    pace.updateLoad({ 5, 0, slots + 1, 1 }, slots, 5, start + milliseconds(1300));
    EXPECT_EQ(pace.contradictions(), 2U);
}

// Calls in transit are in only one of the two counts.
TEST(ServerPace, AcceptsReportsThatDifferByCallsInTransit)
{
    server_pace pace;
    pace.updateLoad(loadOf(0, 2.5), slots, 5, start);
    pace.updateLoad(loadOf(6, 2.5), slots, 12, start);
    EXPECT_EQ(pace.contradictions(), 0U);
}

TEST(ServerPace, ReturnsServiceTimesOnlyIfTheServerReportsItsSpeed)
{
    server_pace pace;
    for (int i = 0; i < 10; ++i) {
        pace.recordRun("read", milliseconds(80));
    }
    pace.updateLoad({ 5, 0, slots, std::nullopt }, slots, 5, start);
    EXPECT_FALSE(pace.meanServiceTime("read", start));
    pace.updateLoad(loadOf(5, 1), slots, 5, start);
    EXPECT_EQ(pace.meanServiceTime("read", start), microseconds(milliseconds(80)));
    EXPECT_FALSE(pace.meanServiceTime("write", start));
    // After a restart under the same address the measurements start anew.
    pace.reset();
    EXPECT_FALSE(pace.meanServiceTime("read", start));
    EXPECT_FALSE(pace.isSlow(start));
}

TEST(RelativePace, ComparesTargetsThatRunDifferentClasses)
{
    relative_pace paces;
    double slow = 0;
    double fast = 0;
    for (int i = 0; i < 500; ++i) {
        slow = paces.learn("read", milliseconds(200));
        fast = paces.learn("read", milliseconds(100));
        EXPECT_NEAR(paces.learn("write", milliseconds(40)), 1, 0.01);
    }
    EXPECT_NEAR(slow / fast, 2, 0.1);
}

TEST(ExpectedTime, GrowsWithLoadAndPace)
{
    for (std::uint32_t limit : { 1U, 20U, 300U }) {
        SCOPED_TRACE(limit);
        double previous = 0;
        for (double load = 0; load < 3; load += 0.01) {
            auto time = expectedResponseTime(1, load, limit);
            EXPECT_GE(time, previous);
            EXPECT_DOUBLE_EQ(expectedResponseTime(2, load, limit), 2 * time);
            previous = time;
        }
    }
    // Among many slots some are free at most loads. With few slots calls wait at much lower loads.
    EXPECT_LT(expectedResponseTime(1, 0.9, 300), 1.01);
    EXPECT_GT(expectedResponseTime(1, 0.9, 4), 1.3);
}

TEST(LoadHeader, IsReadWithThreeOrFourNumbers)
{
    auto three = parseServerLoad("3,1,8");
    ASSERT_TRUE(three);
    EXPECT_EQ(three->running, 3U);
    EXPECT_EQ(three->waiting, 1U);
    EXPECT_EQ(three->slots, 8U);
    EXPECT_FALSE(three->slowdown);
    auto four = parseServerLoad("3, 1, 8, 250");
    ASSERT_TRUE(four);
    EXPECT_DOUBLE_EQ(four->slowdown.value_or(0), 2.5);
}

TEST(LoadHeader, IsRejectedIfMalformed)
{
    for (const char* text : { "", ",", "3,1", "3,1,8,100,1", "a,1,8", "-3,1,8", "3,1,0", "9,1,8", "3,1,8,0", "3,1,8,-5", "3,1,8,1e3", "3,1,8,999999999999", "3.5,1,8", "3,1,8,", "99999999999,1,8" }) {
        EXPECT_FALSE(parseServerLoad(text)) << text;
    }
}

TEST(LoadHeader, UnreadableIsDistinguishedFromMissing)
{
    auto readable = readAnswerMarks({ { "Vanillashunt-Instance-Load", "3,1,8,100" } });
    EXPECT_TRUE(readable.load);
    EXPECT_FALSE(readable.isLoadUnreadable);
    auto unreadable = readAnswerMarks({ { "Vanillashunt-Instance-Load", "much" } });
    EXPECT_FALSE(unreadable.load);
    EXPECT_TRUE(unreadable.isLoadUnreadable);
    auto none = readAnswerMarks({});
    EXPECT_FALSE(none.load);
    EXPECT_FALSE(none.isLoadUnreadable);
}

}
