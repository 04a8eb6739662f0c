#include "backend/server_end_detector.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // More than the time in which all connections of a server that ends break.
    constexpr milliseconds settled { 50 };
    constexpr milliseconds longAgo { 5000 };

    struct world {
        server_end_detector runs;
        server_start server { "i-1" };
        request_fingerprint first = fingerprintOf("/a", "");
        request_fingerprint second = fingerprintOf("/b", "");
        server_end_detector::time_point now { longAgo };
    };

}

TEST(ServerEnds, AreToldWithWhatWasLostOnceTheServerIsGone)
{
    world world;
    world.runs.runLost(world.server, world.first, world.now);
    world.runs.runLost(world.server, world.second, world.now);
    world.runs.runLost(world.server, world.first, world.now);
    EXPECT_FALSE(world.runs.startProbeIfDue(world.now));
    EXPECT_TRUE(world.runs.startProbeIfDue(world.now + settled));
    EXPECT_FALSE(world.runs.startProbeIfDue(world.now + settled));
    auto end = world.runs.probed(server_presence::Gone, world.now + settled);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->start, world.server);
    EXPECT_EQ(end->running.size(), 2U);
    EXPECT_FALSE(world.runs.probed(server_presence::Gone, world.now + settled));
}

TEST(ServerEnds, AreNotTakenFromAnAnswerThatWasLostAlone)
{
    world world;
    world.runs.runLost(world.server, world.first, world.now);
    EXPECT_FALSE(world.runs.probed(server_presence::Connected, world.now));
    EXPECT_FALSE(world.runs.startProbeIfDue(world.now + settled));
    EXPECT_FALSE(world.runs.probed(server_presence::Gone, world.now + settled));
    world.runs.runLost(world.server, world.second, world.now + longAgo);
    EXPECT_TRUE(world.runs.startProbeIfDue(world.now + longAgo + settled));
    EXPECT_EQ(world.runs.probed(server_presence::Gone, world.now + longAgo + settled)->running, std::vector { world.second });
}

TEST(ServerEnds, HaveWhatWasCancelledAMomentBefore)
{
    world world;
    world.runs.runCancelled(world.first, world.now - longAgo);
    world.runs.runCancelled(world.second, world.now);
    EXPECT_FALSE(world.runs.startProbeIfDue(world.now + settled));
    auto lost = fingerprintOf("/c", "");
    world.runs.runLost(world.server, lost, world.now);
    auto end = world.runs.probed(server_presence::Gone, world.now + settled);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->running.size(), 2U);
    EXPECT_EQ(std::count(end->running.begin(), end->running.end(), world.first), 0);
}

TEST(ServerEnds, KeepTheStartsOfAServerApart)
{
    world world;
    world.runs.runLost({ "i-0" }, world.first, world.now);
    world.runs.runLost(world.server, world.second, world.now);
    EXPECT_TRUE(world.runs.startProbeIfDue(world.now + settled));
    EXPECT_EQ(world.runs.probed(server_presence::Gone, world.now + settled)->running, std::vector { world.second });
}

TEST(ServerEnds, AreToldByTheNextStartWhereTheServerIsBackAtOnce)
{
    world world;
    world.runs.runLost(world.server, world.first, world.now);
    EXPECT_FALSE(world.runs.probed(server_presence::Reachable, world.now + settled));
    auto end = world.runs.serverIdentified({ "i-2" }, world.now + longAgo);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->start, world.server);
    world.runs.runLost(world.server, world.first, world.now);
    EXPECT_FALSE(world.runs.serverIdentified(world.server, world.now));
    EXPECT_TRUE(world.runs.inDoubt());
    EXPECT_FALSE(world.runs.probed(server_presence::Reachable, world.now + settled));
    EXPECT_FALSE(world.runs.serverIdentified(world.server, world.now + settled));
    EXPECT_FALSE(world.runs.inDoubt());
}

TEST(ServerEnds, NameContentsByPathAndBodyAlone)
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
