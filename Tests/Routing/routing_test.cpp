#include "routing/router.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;
    using std::chrono::milliseconds;

    member serverIn(std::uint64_t id, const std::string& zone, const std::string& region = "klang")
    {
        member entry;
        entry.id = id;
        entry.availabilityZone = zone;
        entry.region = region;
        entry.service = "threads";
        entry.slots = 10;
        return entry;
    }

    // A router in zone "a" that knows these members.
    router routerWith(const std::vector<member>& members)
    {
        auto random = std::make_shared<std::mt19937_64>(1);
        router result({ "a", "klang" }, [random](std::uint64_t bound) { return (*random)() % bound; });
        result.setMembers(std::make_shared<std::vector<member>>(members), {});
        return result;
    }

    // The members that many calls would go to now.
    std::set<std::uint64_t> choices(router& from, const std::vector<std::uint64_t>& tried = {}, time_point now = {})
    {
        std::set<std::uint64_t> chosen;
        for (int i = 0; i < 200; ++i) {
            if (auto target = from.choose({ "threads", tried }, now)) {
                chosen.insert(target->id);
            }
        }
        return chosen;
    }

    using ids = std::set<std::uint64_t>;

}

TEST(Routing, StaysInTheOwnZoneThenTheOwnRegion)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "b"), serverIn(3, "c", "midlands") });
    EXPECT_EQ(choices(both), ids { 1 });
    auto other = routerWith({ serverIn(2, "b"), serverIn(3, "c", "midlands") });
    EXPECT_EQ(choices(other), ids { 2 });
}

TEST(Routing, SpillsWhenTheOwnZoneIsFull)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    for (int i = 0; i < 12; ++i) {
        both.started(1, {});
    }
    EXPECT_EQ(choices(both), ids { 2 });
}

// The load: two of three zones have lost their servers of a middle service, and the third
// one its servers of the service below, to which four calls follow from each. From the
// middle service's callers on, every call crossed zones: 0.041 of a day's worth for bytes.
TEST(Routing, GoesToTheZoneFromWhichFewerCallsFollowToOthers)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "b"), serverIn(3, "c") });
    time_point now { std::chrono::seconds(100) };
    auto report = [&both, now](std::uint64_t id, std::uint32_t crossings) {
        both.started(id, now);
        route_outcome outcome;
        outcome.result = verdict::answered();
        outcome.zoneCrossings = crossings;
        outcome.limit = 10;
        both.finished(id, outcome, now);
    };
    for (int i = 0; i < 20; ++i) {
        report(1, 4);
        report(2, 0);
        report(3, 4);
    }
    for (int i = 0; i < 200; ++i) {
        auto chosen = both.choose({ "threads", {} }, now);
        ASSERT_TRUE(chosen);
        EXPECT_NE(chosen->id, 1U);
    }
    // One call more or less is not worth the way.
    for (int i = 0; i < 40; ++i) {
        report(1, 1);
    }
    EXPECT_EQ(choices(both, {}, now), ids { 1 });
}

TEST(Routing, SavesNoCallsToOtherZonesWhereTheOtherZoneHasNoRoom)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 20; ++i) {
        both.started(1, now);
        route_outcome outcome;
        outcome.result = verdict::answered();
        outcome.zoneCrossings = 4;
        outcome.limit = 10;
        both.finished(1, outcome, now);
    }
    EXPECT_EQ(choices(both, {}, now), ids { 2 });
    for (int i = 0; i < 8; ++i) {
        both.started(2, now);
    }
    EXPECT_EQ(choices(both, {}, now), ids { 1 });
}

TEST(Routing, TriesAnotherServerThanBefore)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "a") });
    EXPECT_EQ(choices(both, { 1 }), ids { 2 });
    EXPECT_EQ(choices(both, { 1, 2 }), ids {});
}

TEST(Routing, AvoidsWhatFailedAndComesBackToIt)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "a") });
    both.started(1, {});
    both.finished(1, { verdict::notRun(verdict_reason::PeerUnreachable), {}, 0, 0, 0 }, {});
    EXPECT_EQ(choices(both), ids { 2 });
    EXPECT_EQ(choices(both, {}, time_point() + milliseconds(101)), (ids { 1, 2 }));
}

// Found by reading: the router did not look at whether a zone can be reached.
TEST(Routing, PrefersAnyReachableServerAndUsesAnotherOnlyIfThereIsNone)
{
    auto cut = serverIn(1, "a");
    cut.reachable = false;
    auto both = routerWith({ cut, serverIn(2, "b") });
    EXPECT_EQ(choices(both), ids { 2 });
    auto alone = routerWith({ cut });
    EXPECT_EQ(choices(alone), ids { 1 });
}

TEST(Routing, LeavingServersGetNothing)
{
    auto leaving = serverIn(1, "a");
    leaving.state = member_state::Draining;
    auto both = routerWith({ leaving, serverIn(2, "b") });
    EXPECT_EQ(choices(both), ids { 2 });
}

// The load: a zone is cut off while its members owe answers. Calls went on to them
// until three had failed by time-out.
TEST(Routing, AvoidsAMemberThatOwesAnswersAndIsSilent)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    time_point now { std::chrono::seconds(100) };
    both.started(1, now);
    both.finished(1, { verdict::answered(), milliseconds(20) }, now);
    both.started(1, now);
    EXPECT_EQ(choices(both, {}, now + milliseconds(100)), ids { 1 });
    EXPECT_EQ(choices(both, {}, now + milliseconds(400)), ids { 2 });
    both.finished(1, { verdict::answered(), milliseconds(420) }, now + milliseconds(420));
    EXPECT_EQ(choices(both, {}, now + milliseconds(430)), ids { 1 });
}

// The load: two of a service's three servers lose a third of their answers. Calls kept
// going to the nearest, and each lost one cost a request that had used three services
// (810 answers 502 in five seconds).
TEST(Routing, PrefersAMemberThatLosesNoAnswers)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 60; ++i) {
        both.started(1, now);
        both.finished(1, { i % 3 == 0 ? verdict::mayHaveRun(verdict_reason::AnswerLost) : verdict::answered(), milliseconds(20), 0, 6, 10 }, now);
    }
    now += milliseconds(500);
    EXPECT_EQ(choices(both, {}, now), ids { 2 });
    // It is tried again after a while.
    EXPECT_EQ(choices(both, {}, now + std::chrono::seconds(8)), ids { 1 });
}

// The load: the only server of a service lies beyond a cut. Each request waited for a
// connection of its own, 250 ms, and was refused then (1053 in six seconds).
TEST(Routing, TriesAMemberOutOfReachOnceAtATime)
{
    auto only = routerWith({ serverIn(1, "b") });
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 3; ++i) {
        only.started(1, now);
        only.finished(1, { verdict::notRun(verdict_reason::PeerUnreachable) }, now);
    }
    EXPECT_EQ(choices(only, {}, now), ids { 1 });
    only.started(1, now);
    EXPECT_EQ(choices(only, {}, now), ids {});
    only.finished(1, { verdict::answered(), milliseconds(20), 0, 1, 10 }, now);
    EXPECT_EQ(choices(only, {}, now), ids { 1 });
}

// The load: servers of one service of which some need three times as long as the others.
TEST(Routing, PrefersFastServersWhileThereIsRoomAndKeepsATrickleForSlowOnes)
{
    auto both = routerWith({ serverIn(1, "a"), serverIn(2, "a") });
    time_point now { std::chrono::seconds(100) };
    for (std::uint64_t id : { 1U, 2U }) {
        both.started(id, now);
        route_outcome outcome { verdict::answered(), milliseconds(30), 0, 0, 10 };
        outcome.pace = id == 1 ? 0.75 : 2.25;
        both.finished(id, outcome, now);
    }
    auto slowPart = [&both, now](bool hasRoom) {
        constexpr int calls = 4000;
        int slow = 0;
        for (int i = 0; i < calls; ++i) {
            slow += both.choose({ "threads", {}, hasRoom }, now)->id == 2 ? 1 : 0;
        }
        return static_cast<double>(slow) / calls;
    };
    auto withRoom = slowPart(true);
    EXPECT_LT(withRoom, 0.12);
    EXPECT_GT(withRoom, 0.01);
    // By what each ends: a quarter of the calls.
    EXPECT_NEAR(slowPart(false), 0.25, 0.04);
}

}
