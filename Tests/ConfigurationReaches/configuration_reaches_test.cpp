#include "RoutedWorld/zone_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

namespace vanillashunt {

// Guards against a node that knows of changes only through others, and keeps an old configuration once none of
// them answers, though it reaches the store.
TEST(ConfigurationReaches, ANodeThatIsLeftAlone)
{
    zone_world zone(5);
    zone.findWatchers();
    for (auto last : zone.followers) {
        zone.signalOthers({ last }, SIGSTOP);
        zone.expectChange(last, zone.change());
        zone.signalOthers({ last }, SIGCONT);
    }
}

// Guards against nodes that hear of each other, and take that for word of the store.
TEST(ConfigurationReaches, TwoNodesThatAreLeftOfManyAndTellEachOther)
{
    zone_world zone(5);
    zone.findWatchers();
    zone.signalOthers(zone.followers, SIGSTOP);
    for (int change = 0; change < 3; ++change) {
        auto line = zone.change();
        for (auto left : zone.followers) {
            zone.expectChange(left, line);
        }
    }
    zone.signalOthers(zone.followers, SIGCONT);
}

// Guards against nodes that learn of no change while the store turns those away that watch it for them.
TEST(ConfigurationReaches, NodesWhoseWatchersTheStoreTurnsAway)
{
    for (auto refusal : { store_refusal::Unavailable, store_refusal::TooMany, store_refusal::Closed, store_refusal::Silent }) {
        zone_world zone(5);
        zone.findWatchers();
        for (auto watcher : zone.watchers) {
            zone.world.refuseAt(zone.storeAddresses[watcher], refusal);
        }
        for (int change = 0; change < 3; ++change) {
            auto line = zone.change();
            for (auto served : zone.followers) {
                zone.expectChange(served, line);
            }
        }
    }
}

// Guards against a node that wakes and goes back to what it knew before its pause, or keeps it.
TEST(ConfigurationReaches, ANodeThatWasPausedDuringTheChange)
{
    zone_world zone(4);
    for (std::size_t paused = 0; paused < zone.nodes.size(); ++paused) {
        zone.nodes[paused]->process->signal(SIGSTOP);
        auto line = zone.change();
        for (std::size_t which = 0; which < zone.nodes.size(); ++which) {
            if (which != paused) {
                zone.expectChange(which, line);
            }
        }
        zone.nodes[paused]->process->signal(SIGCONT);
        zone.expectChange(paused, line);
    }
}

// Guards against a zone that learns of no change while each node that takes over the watch is killed, too.
TEST(ConfigurationReaches, NodesWhoseWatchersAreKilledOneAfterTheOther)
{
    zone_world zone(7);
    std::vector<std::size_t> alive { 0, 1, 2, 3, 4, 5, 6 };
    for (int kill = 0; kill < 5; ++kill) {
        zone.findWatchers(std::min<std::size_t>(alive.size(), 3));
        auto killed = *std::find_if(zone.watchers.begin(), zone.watchers.end(), [&](std::size_t which) { return std::count(alive.begin(), alive.end(), which) == 1; });
        zone.nodes[killed]->process->kill();
        alive.erase(std::remove(alive.begin(), alive.end(), killed), alive.end());
        auto line = zone.change();
        for (auto which : alive) {
            zone.expectChange(which, line);
        }
    }
}

// Guards against a node that serves a key by an old configuration, because nobody tells it of the new one.
TEST(ConfigurationReaches, KeysAreTakenFromANodeThatIsLeftAlone)
{
    zone_world zone(4);
    zone.putKeys({ "kept", "taken" });
    for (auto& node : zone.nodes) {
        EXPECT_EQ(zone.getUntil(*node, "taken", "200"), "200");
    }
    zone.findWatchers();
    auto last = zone.followers.front();
    zone.signalOthers({ last }, SIGSTOP);
    zone.putKeys({ "kept", "added" });
    EXPECT_EQ(zone.getUntil(*zone.nodes[last], "taken", "401"), "401");
    EXPECT_EQ(zone.getUntil(*zone.nodes[last], "added", "200"), "200");
    EXPECT_EQ(zone.getUntil(*zone.nodes[last], "kept", "200"), "200");
    zone.signalOthers({ last }, SIGCONT);
}

}
