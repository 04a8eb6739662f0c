#include "backend/start_verification.h"
#include "platform/health_answer.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    // When the process of the node started.
    constexpr start_verification::time_point started { std::chrono::hours(1) };

    server_report reportOf(const std::string& instanceId, std::uint64_t sequence)
    {
        server_report report;
        report.start.instanceId = instanceId;
        report.sequence = sequence;
        return report;
    }

}

TEST(StartVerification, ProbesAStartOnceWhileTheProbeIsUnanswered)
{
    start_verification verification { started };
    verification.begin(reportOf("i-1", 7), started);
    EXPECT_TRUE(verification.isPending({ "i-1" }));
    EXPECT_FALSE(verification.takeProbe({ "i-1" }, started));
    EXPECT_FALSE(verification.takeProbe({ "i-2" }, started));
    EXPECT_TRUE(verification.isPending({ "i-1" }));
    EXPECT_FALSE(verification.isPending({ "i-2" }));
}

TEST(StartVerification, EndsWhenTheServerServesOrItsHealthIsUnknown)
{
    for (auto health : { server_health::Serving, server_health::Unknown }) {
        start_verification verification { started };
        verification.begin(reportOf("i-1", 7), started);
        verification.probed({ "i-0" }, health);
        EXPECT_TRUE(verification.isPending({ "i-1" }));
        verification.probed({ "i-1" }, health);
        EXPECT_FALSE(verification.isPending({ "i-1" }));
    }
}

// Guards against a server that has deregistered with an earlier process and receives requests, since
// several of its reports are delayed.
TEST(StartVerification, GoesOnAfterAFailedProbeWhateverReportsMayBeDelayed)
{
    start_verification verification { started };
    verification.begin(reportOf("i-1", 7), started);
    verification.probed({ "i-1" }, server_health::NotServing);
    for (std::uint64_t sequence = 8; sequence < 18; ++sequence) {
        auto now = started + (sequence - 7) * std::chrono::milliseconds(900);
        EXPECT_FALSE(verification.isProvenBy(reportOf("i-1", sequence), now));
        verification.takeProbe({ "i-1" }, now);
        EXPECT_TRUE(verification.isPending({ "i-1" }));
    }
    verification.probed({ "i-1" }, server_health::Unknown);
    EXPECT_TRUE(verification.isPending({ "i-1" }));
    verification.probed({ "i-1" }, server_health::Serving);
    EXPECT_FALSE(verification.isPending({ "i-1" }));
}

// A wrong health answer must not keep a server out of use for longer than a report may be delayed.
TEST(StartVerification, EndsOnAReportThatWasSentAfterTheProcessStarted)
{
    auto later = started + start_verification::maxReportDelay;
    start_verification verification { started };
    verification.begin(reportOf("i-1", 7), started);
    verification.probed({ "i-1" }, server_health::NotServing);
    // A copy of the first report proves nothing, nor does a report of another start.
    EXPECT_FALSE(verification.isProvenBy(reportOf("i-1", 7), later));
    EXPECT_FALSE(verification.isProvenBy(reportOf("i-2", 8), later));
    EXPECT_TRUE(verification.isProvenBy(reportOf("i-1", 8), later));
}

// A server that becomes healthy must be used with its next report.
TEST(StartVerification, ProbesAgainWithTheReportsAtABoundedRate)
{
    start_verification verification { started };
    verification.begin(reportOf("i-1", 7), started);
    verification.probed({ "i-1" }, server_health::NotServing);
    int probes = 0;
    for (int tenths = 1; tenths <= 50; ++tenths) {
        probes += verification.takeProbe({ "i-1" }, started + tenths * std::chrono::milliseconds(100)) ? 1 : 0;
    }
    EXPECT_EQ(probes, 5);
}

TEST(StartVerification, ReadsHealthAnswers)
{
    const http_fields ownFields { { "Vanillashunt-Instance-Id", "i-1" } };
    EXPECT_EQ(readHealthAnswer({ 200, ownFields, "" }, "i-1"), server_health::Serving);
    EXPECT_EQ(readHealthAnswer({ 200, ownFields, "" }, "i-2"), server_health::NotServing);
    EXPECT_EQ(readHealthAnswer({ 503, ownFields, "" }, "i-1"), server_health::NotServing);
    EXPECT_EQ(readHealthAnswer({ 503, { { "Vanillashunt-Not-Executed", "1" } }, "" }, "i-1"), server_health::Unknown);
    EXPECT_EQ(readHealthAnswer({ 404, ownFields, "" }, "i-1"), server_health::Unknown);
}

}
