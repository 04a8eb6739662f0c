#include "backend/server_end_detector.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // Longer than the time within which all connections of a server that ends break.
    constexpr milliseconds settleTime { 50 };
    constexpr milliseconds longTime { 5000 };

    struct detector_harness {
        server_end_detector detector;
        server_start server { "i-1" };
        request_fingerprint firstContent = fingerprintOf("/a", "");
        request_fingerprint secondContent = fingerprintOf("/b", "");
        server_end_detector::time_point now { longTime };
    };

}

TEST(ServerEnds, AreReportedWithTheLostRunsOnceTheServerIsGone)
{
    detector_harness harness;
    harness.detector.runLost(harness.server, harness.firstContent, harness.now);
    harness.detector.runLost(harness.server, harness.secondContent, harness.now);
    harness.detector.runLost(harness.server, harness.firstContent, harness.now);
    EXPECT_FALSE(harness.detector.startProbeIfDue(harness.now));
    EXPECT_TRUE(harness.detector.startProbeIfDue(harness.now + settleTime));
    EXPECT_FALSE(harness.detector.startProbeIfDue(harness.now + settleTime));
    auto end = harness.detector.probed(server_presence::Gone, harness.now + settleTime);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->start, harness.server);
    EXPECT_EQ(end->running.size(), 2U);
    EXPECT_FALSE(harness.detector.probed(server_presence::Gone, harness.now + settleTime));
}

TEST(ServerEnds, AreNotReportedForALostAnswerAlone)
{
    detector_harness harness;
    harness.detector.runLost(harness.server, harness.firstContent, harness.now);
    EXPECT_FALSE(harness.detector.probed(server_presence::Connected, harness.now));
    EXPECT_FALSE(harness.detector.startProbeIfDue(harness.now + settleTime));
    EXPECT_FALSE(harness.detector.probed(server_presence::Gone, harness.now + settleTime));
    harness.detector.runLost(harness.server, harness.secondContent, harness.now + longTime);
    EXPECT_TRUE(harness.detector.startProbeIfDue(harness.now + longTime + settleTime));
    EXPECT_EQ(harness.detector.probed(server_presence::Gone, harness.now + longTime + settleTime)->running, std::vector { harness.secondContent });
}

TEST(ServerEnds, IncludeRunsCancelledShortlyBefore)
{
    detector_harness harness;
    harness.detector.runCancelled(harness.firstContent, harness.now - longTime);
    harness.detector.runCancelled(harness.secondContent, harness.now);
    EXPECT_FALSE(harness.detector.startProbeIfDue(harness.now + settleTime));
    auto lostContent = fingerprintOf("/c", "");
    harness.detector.runLost(harness.server, lostContent, harness.now);
    auto end = harness.detector.probed(server_presence::Gone, harness.now + settleTime);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->running.size(), 2U);
    EXPECT_EQ(std::count(end->running.begin(), end->running.end(), harness.firstContent), 0);
}

TEST(ServerEnds, DoNotIncludeLostRunsOfAnEarlierStart)
{
    detector_harness harness;
    harness.detector.runLost({ "i-0" }, harness.firstContent, harness.now);
    harness.detector.runLost(harness.server, harness.secondContent, harness.now);
    EXPECT_TRUE(harness.detector.startProbeIfDue(harness.now + settleTime));
    EXPECT_EQ(harness.detector.probed(server_presence::Gone, harness.now + settleTime)->running, std::vector { harness.secondContent });
}

TEST(ServerEnds, AreReportedWhenTheNextStartIsIdentified)
{
    detector_harness harness;
    harness.detector.runLost(harness.server, harness.firstContent, harness.now);
    EXPECT_FALSE(harness.detector.probed(server_presence::Reachable, harness.now + settleTime));
    auto end = harness.detector.serverIdentified({ "i-2" }, harness.now + longTime);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->start, harness.server);
    harness.detector.runLost(harness.server, harness.firstContent, harness.now);
    EXPECT_FALSE(harness.detector.serverIdentified(harness.server, harness.now));
    EXPECT_TRUE(harness.detector.inDoubt());
    EXPECT_FALSE(harness.detector.probed(server_presence::Reachable, harness.now + settleTime));
    EXPECT_FALSE(harness.detector.serverIdentified(harness.server, harness.now + settleTime));
    EXPECT_FALSE(harness.detector.inDoubt());
}

TEST(ServerEnds, IdentifyContentsByPathAndBodyOnly)
{
    EXPECT_EQ(fingerprintOf("/a", "b"), fingerprintOf("/a", "b"));
    EXPECT_NE(fingerprintOf("/a", "b"), fingerprintOf("/a", "c"));
    EXPECT_NE(fingerprintOf("/a", "b"), fingerprintOf("/ab", ""));
    auto content = fingerprintOf("/a", "");
    EXPECT_EQ(parseFingerprint(toString(content)), content);
    EXPECT_FALSE(parseFingerprint("12"));
    EXPECT_FALSE(parseFingerprint("000000000000000g"));
}

}
