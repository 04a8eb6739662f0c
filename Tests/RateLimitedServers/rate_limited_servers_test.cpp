#include "RateLimitedServers/announcement_soak.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>

namespace vanillashunt {

namespace {

    using namespace std::chrono_literals;
    using std::chrono::steady_clock;

    // The platform's bounds: a limit applies this long after the server first named it, in any
    // span of this length, with this tolerance.
    constexpr auto stableWindow = 3s;
    constexpr auto limitWindow = 4s;
    constexpr double limitTolerance = 1.5;
    constexpr double limitSlack = 5;
    // How long a server that leaves may still get requests.
    constexpr auto drainLimit = 2s;

    std::size_t allowed(double limit)
    {
        return static_cast<std::size_t>(limitTolerance * limit * std::chrono::duration<double>(limitWindow).count() + limitSlack);
    }

    // Wait for the effect of what a server announces at all nodes.
    void pass(steady_clock::duration time)
    {
        std::this_thread::sleep_for(time);
    }

}

// Guards against a server that gets more requests per second than its answers say it takes:
// each node has to know what the others send.
TEST(RateLimitedServers, GetNoMoreThanTheirLimitFromAllNodesTogether)
{
    announcing_world world(4);
    world.sendFrom({ 0, 1, 2, 3 });
    world.server(0).announce("7.1", false);
    auto bound = steady_clock::now() + stableWindow;
    pass(stableWindow + limitWindow + 2s);
    world.stopClients();
    EXPECT_LE(world.server(0).mostArrivals(limitWindow, bound), allowed(7.1));
    EXPECT_GT(world.server(0).arrivalsAfter(bound), 0U);
}

// Guards against a limit that is forgotten with the process of the node beside the server: the
// other nodes remain bound.
TEST(RateLimitedServers, GetNoMoreThanTheirLimitWhileTheirNodeIsKilledAndFrozen)
{
    announcing_world world(4);
    world.sendFrom({ 1, 2, 3 });
    world.server(0).announce("2", false);
    auto bound = steady_clock::now() + stableWindow;
    pass(stableWindow);
    world.restartNode(0);
    pass(1s);
    world.node(0).process->signal(SIGSTOP);
    pass(1s);
    world.node(0).process->signal(SIGCONT);
    pass(1s);
    world.restartNode(0);
    pass(limitWindow);
    world.stopClients();
    EXPECT_LE(world.server(0).mostArrivals(limitWindow, bound), allowed(2));
    EXPECT_GT(world.server(0).arrivalsAfter(bound), 0U);
}

// Guards against a server that gets next to nothing for long after its limit has ended: the nodes
// that send elsewhere meanwhile have to learn of the end.
TEST(RateLimitedServers, GetTheirShareAgainOnceTheLimitHasEnded)
{
    announcing_world world(4);
    world.sendFrom({ 1, 2, 3 });
    world.server(0).announce("0.5", false);
    pass(stableWindow);
    world.server(0).announce("", false);
    constexpr std::size_t share = 20;
    constexpr int maxSeconds = 30;
    int waited = 0;
    while (waited < maxSeconds && world.server(0).arrivalsAfter(steady_clock::now() - 1s) < share) {
        pass(1s);
        ++waited;
    }
    world.stopClients();
    EXPECT_LT(waited, maxSeconds);
    RecordProperty("seconds", waited);
}

// Guards against requests to a server that says in its answers that it leaves while its reports
// say that it is ready, also after a restart of its node and without the store. All requests enter at
// one node, which is bound from the first such answer on that it passes on.
TEST(RateLimitedServers, GetNoRequestsOnceTheyAnnounceThatTheyLeave)
{
    announcing_world world(4);
    world.sendFrom({ 1 });
    world.server(0).announce("", true);
    for (pass(1s); !world.toldAt("1-", world.server(0).seal()).leaving; pass(1s)) {
        // The first answer of this start was a refusal, which is not passed on.
        world.server(0).startAgainById();
        world.reportReady(0);
    }
    auto bound = steady_clock::now() + drainLimit;
    pass(drainLimit);
    world.reportReady(0);
    world.setStoreDown(true);
    world.restartNode(0);
    pass(2s);
    auto served = world.served();
    pass(1s);
    world.stopClients();
    EXPECT_EQ(world.server(0).arrivalsAfter(bound), 0U);
    EXPECT_GT(world.served(), served);
}

// Guards against limits and leavings that are missed, forgotten or taken for those of another start
// when announcements, restarts of servers, kills, stops and freezes of their nodes and outages of
// the store overlap. SOAK_SEEDS=FIRST:COUNT plays other seeds.
TEST(RateLimitedServers, GetWhatTheyAnnounceWhileThingsBreakAtRandom)
{
    constexpr int events = 12;
    std::uint64_t first = 1;
    std::uint64_t count = 1;
    if (const char* wanted = std::getenv("SOAK_SEEDS")) {
        char* rest = nullptr;
        first = std::strtoull(wanted, &rest, 10);
        count = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1;
    }
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("SOAK_SEEDS=" + std::to_string(seed));
        announcement_soak soak(seed);
        soak.run(events);
        for (const auto& violation : soak.violations()) {
            ADD_FAILURE() << violation;
        }
        EXPECT_GT(soak.boundArrivals(), 0U);
        EXPECT_GT(soak.served(), 0U);
    }
}

}
