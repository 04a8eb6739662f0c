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

    // Returns a router in zone "a" that knows the members.
    router routerWith(const std::vector<member>& members)
    {
        auto random = std::make_shared<std::mt19937_64>(1);
        router result({ "a", "klang" }, [random](std::uint64_t bound) { return (*random)() % bound; });
        result.setMembers(std::make_shared<std::vector<member>>(members), {});
        return result;
    }

    // Returns the ids of the members that are chosen for 200 calls.
    std::set<std::uint64_t> choices(router& testedRouter, const std::vector<std::uint64_t>& tried = {}, time_point now = {})
    {
        std::set<std::uint64_t> chosen;
        for (int i = 0; i < 200; ++i) {
            if (auto target = testedRouter.choose({ "threads", tried }, now)) {
                chosen.insert(target->id);
            }
        }
        return chosen;
    }

    using ids = std::set<std::uint64_t>;

}

TEST(Routing, PrefersTheOwnZoneThenTheOwnRegion)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "b"), serverIn(3, "c", "midlands") });
    EXPECT_EQ(choices(testRouter), ids { 1 });
    auto routerWithoutOwnZone = routerWith({ serverIn(2, "b"), serverIn(3, "c", "midlands") });
    EXPECT_EQ(choices(routerWithoutOwnZone), ids { 2 });
}

TEST(Routing, ChoosesAnotherZoneWhenTheOwnZoneIsFull)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    for (int i = 0; i < 12; ++i) {
        testRouter.started(1, {});
    }
    EXPECT_EQ(choices(testRouter), ids { 2 });
}

// Two of three zones have lost their servers of one service, and the third zone has lost its servers
// of the service below, to which four calls follow from each call. Guards against a choice after
// which every call from the callers of the upper service on crosses zones, so that bytes between
// zones cost 0.041 of a day's worth.
TEST(Routing, PrefersTheZoneWithFewerCallsToOtherZones)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "b"), serverIn(3, "c") });
    time_point now { std::chrono::seconds(100) };
    auto report = [&testRouter, now](std::uint64_t id, std::uint32_t crossings) {
        testRouter.started(id, now);
        route_outcome outcome;
        outcome.result = verdict::answered();
        outcome.zoneCrossings = crossings;
        outcome.limit = 10;
        testRouter.finished(id, outcome, now);
    };
    for (int i = 0; i < 20; ++i) {
        report(1, 4);
        report(2, 0);
        report(3, 4);
    }
    for (int i = 0; i < 200; ++i) {
        auto chosen = testRouter.choose({ "threads", {} }, now);
        ASSERT_TRUE(chosen);
        EXPECT_NE(chosen->id, 1U);
    }
    // A difference of one call does not justify a call to another zone.
    for (int i = 0; i < 40; ++i) {
        report(1, 1);
    }
    EXPECT_EQ(choices(testRouter, {}, now), ids { 1 });
}

TEST(Routing, IgnoresSavedCallsToOtherZonesIfTheOtherZoneIsFull)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 20; ++i) {
        testRouter.started(1, now);
        route_outcome outcome;
        outcome.result = verdict::answered();
        outcome.zoneCrossings = 4;
        outcome.limit = 10;
        testRouter.finished(1, outcome, now);
    }
    EXPECT_EQ(choices(testRouter, {}, now), ids { 2 });
    for (int i = 0; i < 8; ++i) {
        testRouter.started(2, now);
    }
    EXPECT_EQ(choices(testRouter, {}, now), ids { 1 });
}

TEST(Routing, DoesNotChooseTriedServers)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "a") });
    EXPECT_EQ(choices(testRouter, { 1 }), ids { 2 });
    EXPECT_EQ(choices(testRouter, { 1, 2 }), ids {});
}

TEST(Routing, AvoidsAFailedServerForAWhile)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "a") });
    testRouter.started(1, {});
    testRouter.finished(1, { verdict::notRun(verdict_reason::PeerUnreachable), {}, 0, 0, 0 }, {});
    EXPECT_EQ(choices(testRouter), ids { 2 });
    EXPECT_EQ(choices(testRouter, {}, time_point() + milliseconds(101)), (ids { 1, 2 }));
}

// Guards against a router that ignores whether a zone can be reached.
TEST(Routing, ChoosesAnUnreachableServerOnlyIfNoneIsReachable)
{
    auto unreachable = serverIn(1, "a");
    unreachable.reachable = false;
    auto testRouter = routerWith({ unreachable, serverIn(2, "b") });
    EXPECT_EQ(choices(testRouter), ids { 2 });
    auto unreachableOnly = routerWith({ unreachable });
    EXPECT_EQ(choices(unreachableOnly), ids { 1 });
}

TEST(Routing, DoesNotChooseDrainingServers)
{
    auto draining = serverIn(1, "a");
    draining.state = member_state::Draining;
    auto testRouter = routerWith({ draining, serverIn(2, "b") });
    EXPECT_EQ(choices(testRouter), ids { 2 });
}

// Guards against further calls to the members of a zone that is cut off while calls to them are
// outstanding. Without a bound on the time without answers, calls go on until three have timed out.
TEST(Routing, AvoidsAMemberThatStopsAnswering)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    time_point now { std::chrono::seconds(100) };
    testRouter.started(1, now);
    testRouter.finished(1, { verdict::answered(), milliseconds(20) }, now);
    testRouter.started(1, now);
    EXPECT_EQ(choices(testRouter, {}, now + milliseconds(100)), ids { 1 });
    EXPECT_EQ(choices(testRouter, {}, now + milliseconds(400)), ids { 2 });
    testRouter.finished(1, { verdict::answered(), milliseconds(420) }, now + milliseconds(420));
    EXPECT_EQ(choices(testRouter, {}, now + milliseconds(430)), ids { 1 });
}

// Guards against calls that keep going to the nearest server although it loses answers. If two of
// a service's three servers lose a third of their answers, each lost answer wastes a request that
// has used three services: 810 requests are answered with status 502 in five seconds.
TEST(Routing, AvoidsAMemberThatLosesAnswers)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "b") });
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 60; ++i) {
        testRouter.started(1, now);
        testRouter.finished(1, { i % 3 == 0 ? verdict::mayHaveRun(verdict_reason::AnswerLost) : verdict::answered(), milliseconds(20), 0, 6, 10 }, now);
    }
    now += milliseconds(500);
    EXPECT_EQ(choices(testRouter, {}, now), ids { 2 });
    // The member is tried again after a while.
    EXPECT_EQ(choices(testRouter, {}, now + std::chrono::seconds(8)), ids { 1 });
}

// Guards against requests that each wait 250 ms for a connection of their own and are then refused,
// 1053 of them in six seconds. This happens if the network to the only server of a service is cut.
TEST(Routing, TriesAnUnreachableMemberWithOneCallAtATime)
{
    auto singleServerRouter = routerWith({ serverIn(1, "b") });
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 3; ++i) {
        singleServerRouter.started(1, now);
        singleServerRouter.finished(1, { verdict::notRun(verdict_reason::PeerUnreachable) }, now);
    }
    EXPECT_EQ(choices(singleServerRouter, {}, now), ids { 1 });
    singleServerRouter.started(1, now);
    EXPECT_EQ(choices(singleServerRouter, {}, now), ids {});
    singleServerRouter.finished(1, { verdict::answered(), milliseconds(20), 0, 1, 10 }, now);
    EXPECT_EQ(choices(singleServerRouter, {}, now), ids { 1 });
}

// Some servers of a service need three times as long as the others.
TEST(Routing, PrefersFastServersWithFreeSlotsAndKeepsProbingSlowOnes)
{
    auto testRouter = routerWith({ serverIn(1, "a"), serverIn(2, "a") });
    time_point now { std::chrono::seconds(100) };
    for (std::uint64_t id : { 1U, 2U }) {
        testRouter.started(id, now);
        route_outcome outcome { verdict::answered(), milliseconds(30), 0, 0, 10 };
        outcome.pace = id == 1 ? 0.75 : 2.25;
        testRouter.finished(id, outcome, now);
    }
    auto slowShare = [&testRouter, now](bool hasFreeSlots) {
        constexpr int calls = 4000;
        int slow = 0;
        for (int i = 0; i < calls; ++i) {
            slow += testRouter.choose({ "threads", {}, hasFreeSlots }, now)->id == 2 ? 1 : 0;
        }
        return static_cast<double>(slow) / calls;
    };
    auto withFreeSlots = slowShare(true);
    EXPECT_LT(withFreeSlots, 0.12);
    EXPECT_GT(withFreeSlots, 0.01);
    // In proportion to its throughput, the slow server gets a quarter of the calls.
    EXPECT_NEAR(slowShare(false), 0.25, 0.04);
}

// Guards against a server that still gets next to nothing after its rate limit has ended: a node that
// rarely sends there hears of the end from the announced slots.
TEST(Routing, ForgetsARateLimitWhenTheMemberAnnouncesOtherSlots)
{
    auto limited = serverIn(1, "a");
    limited.slots = 1;
    auto testRouter = routerWith({ limited, serverIn(2, "a") });
    route_outcome outcome { verdict::answered(), milliseconds(10) };
    outcome.limit = 1;
    outcome.isRateLimited = true;
    testRouter.started(1, {});
    testRouter.finished(1, outcome, {});
    auto callsToFirst = [&testRouter] {
        int count = 0;
        for (int i = 0; i < 1000; ++i) {
            count += testRouter.choose({ "threads", {} }, time_point(std::chrono::seconds(5)))->id == 1 ? 1 : 0;
        }
        return count;
    };
    EXPECT_LT(callsToFirst(), 200);
    testRouter.setMembers(std::make_shared<std::vector<member>>(std::vector<member> { serverIn(1, "a"), serverIn(2, "a") }), {});
    EXPECT_GT(callsToFirst(), 400);
}

}
