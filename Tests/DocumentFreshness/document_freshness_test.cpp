#include "decision/document_freshness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = document_freshness::time_point;

    // How often a node looks whether it has to read at least, and how long a read takes.
    constexpr milliseconds stepPeriod { 200 };
    constexpr milliseconds readTime { 20 };
    // The users' bound: a change is in force this long after its acknowledgement.
    constexpr milliseconds inForceWithin { 2000 };

    constexpr time_point start { std::chrono::hours(1) };

    std::function<std::uint64_t(std::uint64_t)> randomHook(std::mt19937_64& random)
    {
        return [&random](std::uint64_t bound) { return random() % bound; };
    }

}

// Guards against a node that is told nothing recent and learns of a change too late, or never.
TEST(DocumentFreshness, ReadsInTimeForAChangeToBeInForce)
{
    std::mt19937_64 random(1);
    for (int run = 0; run < 1000; ++run) {
        document_freshness freshness({}, randomHook(random), start);
        // The change follows the last confirmation.
        freshness.confirmed(start);
        auto now = start + milliseconds(random() % stepPeriod.count());
        while (!freshness.takeRead(12, now)) {
            now += std::min(stepPeriod, freshness.untilNextCheck(now));
        }
        EXPECT_LE(now + readTime - start, inForceWithin);
    }
}

// Guards against reads by nodes that are told of the source's answers.
TEST(DocumentFreshness, DoesNotReadWhileItIsToldSomethingRecent)
{
    std::mt19937_64 random(1);
    document_freshness freshness({}, randomHook(random), start);
    for (auto now = start; now < start + std::chrono::minutes(1); now += stepPeriod) {
        freshness.confirmed(now - milliseconds(1000));
        EXPECT_FALSE(freshness.takeRead(12, now));
        EXPECT_EQ(freshness.age(now), milliseconds(1000));
    }
}

// Guards against an age that is taken for certain before the source ever answered, and against one that falls
// by older news.
TEST(DocumentFreshness, KnowsNoAgeBeforeTheFirstConfirmation)
{
    std::mt19937_64 random(1);
    document_freshness freshness({}, randomHook(random), start);
    EXPECT_FALSE(freshness.age(start).has_value());
    freshness.confirmed(start - milliseconds(3000));
    EXPECT_EQ(freshness.age(start + milliseconds(700)), milliseconds(3700)) << "older than the process";
    freshness.confirmed(start + milliseconds(500));
    freshness.confirmed(start + milliseconds(100));
    EXPECT_EQ(freshness.age(start + milliseconds(700)), milliseconds(200));
}

// Guards against a node that asks no more after failed reads, or that asks too often.
TEST(DocumentFreshness, RepeatsFailedReadsMoreAndMoreRarely)
{
    std::mt19937_64 random(1);
    document_freshness freshness({}, randomHook(random), start);
    std::vector<time_point> reads;
    for (auto now = start; now < start + std::chrono::minutes(1); now += milliseconds(10)) {
        if (freshness.takeRead(12, now)) {
            EXPECT_FALSE(freshness.takeRead(12, now)) << "while the read is in progress";
            reads.push_back(now);
            freshness.readEnded(false, 12, now);
        }
    }
    EXPECT_GT(reads.size(), 60000 / 5000U);
    EXPECT_LT(reads.size(), 60000 / 1600U);
    EXPECT_LT(reads[1] - reads[0], milliseconds(700));
    freshness.confirmed(reads.back());
    EXPECT_FALSE(freshness.takeRead(12, reads.back()));
}

// Guards against calls beyond the store's rate when no node hears from the store, on each size of deployment.
TEST(DocumentFreshness, StaysWithinTheStoresRateWhenAllReadAtOnce)
{
    struct deployment {
        std::size_t nodes;
        std::size_t readsPerSecond;
    };
    for (const auto& site : std::vector<deployment> { { 12, 2000 }, { 83, 6000 }, { 195, 16000 }, { 6700, 2000 } }) {
        std::mt19937_64 random(1);
        std::vector<document_freshness> nodes(site.nodes, document_freshness({}, randomHook(random), start));
        std::vector<std::size_t> readsInSecond(20);
        for (auto now = start; now < start + std::chrono::seconds(20); now += milliseconds(20)) {
            for (auto& node : nodes) {
                if (node.takeRead(site.nodes, now)) {
                    node.readEnded(false, site.nodes, now);
                    ++readsInSecond[static_cast<std::size_t>((now - start) / std::chrono::seconds(1))];
                }
            }
        }
        EXPECT_LE(*std::max_element(readsInSecond.begin(), readsInSecond.end()), site.readsPerSecond) << site.nodes;
    }
}

}
