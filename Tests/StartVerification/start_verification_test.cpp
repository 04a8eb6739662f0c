#include "backend/start_verification.h"
#include "platform/health_answer.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    server_report reportOf(const std::string& instanceId, std::uint64_t sequence)
    {
        server_report report;
        report.start.instanceId = instanceId;
        report.sequence = sequence;
        return report;
    }

}

TEST(StartVerification, ProbesOnlyTheFirstStartAndOnlyOnce)
{
    start_verification verification;
    EXPECT_TRUE(verification.reported(reportOf("i-1", 7), true));
    EXPECT_TRUE(verification.isPending({ "i-1" }));
    EXPECT_FALSE(verification.reported(reportOf("i-1", 7), false));
    EXPECT_TRUE(verification.isPending({ "i-1" }));
    EXPECT_FALSE(verification.isPending({ "i-2" }));
}

TEST(StartVerification, EndsWhenTheServerServesOrItsHealthIsUnknown)
{
    for (auto health : { server_health::Serving, server_health::Unknown }) {
        start_verification verification;
        verification.reported(reportOf("i-1", 7), true);
        verification.probed({ "i-0" }, health);
        EXPECT_TRUE(verification.isPending({ "i-1" }));
        verification.probed({ "i-1" }, health);
        EXPECT_FALSE(verification.isPending({ "i-1" }));
    }
}

// A wrong health answer must not keep a server out of use past its next report.
TEST(StartVerification, EndsOnALaterReportAfterAFailedProbe)
{
    start_verification verification;
    verification.reported(reportOf("i-1", 7), true);
    verification.probed({ "i-1" }, server_health::NotServing);
    EXPECT_TRUE(verification.isPending({ "i-1" }));
    verification.reported(reportOf("i-1", 8), false);
    EXPECT_FALSE(verification.isPending({ "i-1" }));
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
