#include "RoutedSoak/soak_seeds.h"
#include "RoutedWorld/zone_world.h"

#include <gtest/gtest.h>

#include <csignal>
#include <random>

namespace vanillashunt {

namespace {

    constexpr std::size_t nodeCount = 6;
    constexpr int changes = 10;

    // What happens to one node while the configuration changes.
    enum class disruption {
        None,
        Frozen,
        TurnedAway, // By the store.
    };

    disruption draw(std::mt19937_64& random)
    {
        switch (random() % 3) {
        case 0:
            return disruption::None;
        case 1:
            return disruption::Frozen;
        default:
            return disruption::TurnedAway;
        }
    }

    store_refusal drawRefusal(std::mt19937_64& random)
    {
        constexpr std::array<store_refusal, 4> manners { store_refusal::Unavailable, store_refusal::TooMany, store_refusal::Closed, store_refusal::Silent };
        return manners.at(random() % manners.size());
    }

    // Disrupts any nodes but one at least, changes the configuration, and waits until the undisrupted nodes have it.
    void disruptAndChange(zone_world& zone, std::mt19937_64& random)
    {
        auto spared = random() % nodeCount;
        std::vector<disruption> drawn;
        for (std::size_t which = 0; which < nodeCount; ++which) {
            drawn.push_back(which == spared ? disruption::None : draw(random));
            if (drawn.back() == disruption::Frozen) {
                zone.nodes[which]->process->signal(SIGSTOP);
            } else if (drawn.back() == disruption::TurnedAway) {
                zone.world.refuseAt(zone.storeAddresses[which], drawRefusal(random));
            }
        }
        auto line = zone.change();
        for (std::size_t which = 0; which < nodeCount; ++which) {
            if (drawn[which] == disruption::None) {
                zone.expectChange(which, line);
            }
        }
        for (std::size_t which = 0; which < nodeCount; ++which) {
            zone.world.refuseAt(zone.storeAddresses[which], store_refusal::None);
            zone.nodes[which]->process->signal(SIGCONT);
        }
        for (std::size_t which = 0; which < nodeCount; ++which) {
            if (drawn[which] != disruption::None) {
                zone.expectChange(which, line);
            }
        }
    }

}

// Guards against nodes that do not learn of a change, though they reach the store or a node that knows it, while
// others are frozen or turned away by the store, in any combination.
TEST(ConfigurationSoak, ReachesEveryUndisruptedNode)
{
    for (auto seed : soakSeeds({ 1 })) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        zone_world zone(nodeCount);
        for (int change = 0; change < changes; ++change) {
            disruptAndChange(zone, random);
        }
    }
}

}
