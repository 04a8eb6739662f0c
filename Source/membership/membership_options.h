#pragma once

#include <chrono>
#include <cstddef>

namespace vanillashunt {

// The times and bounds of membership, and its rules, each of which a test may switch off.
struct membership_options {
    using milliseconds = std::chrono::milliseconds;

    // Between two probes of members of the own availability zone.
    milliseconds probePeriod { 500 };
    // Until a direct probe is followed by indirect ones.
    milliseconds probeTimeout { 300 };
    // Until an indirect probe has failed as well.
    milliseconds indirectTimeout { 400 };
    // How long a suspected member has to refute.
    milliseconds suspicionTime { 2500 };
    // In which each other availability zone is probed about once.
    milliseconds zoneRound { 4000 };
    // Between two pings of ticks from which on this node takes itself for paused.
    milliseconds pauseGap { 400 };
    // Between the two pushes of one piece of news.
    milliseconds secondPush { 200 };
    // Without a change, after which a difference of digests is worth an exchange.
    milliseconds settleTime { 3000 };
    // After which a difference is repaired although news is still under way.
    milliseconds longestUnsettled { 10000 };
    // Between two greetings to addresses that were given, while alone.
    milliseconds joinPeriod { 1000 };
    // The same while there are members; joins meshes that have grown apart.
    milliseconds rejoinPeriod { 30000 };
    // How long it is remembered that a member is gone.
    milliseconds tombstoneTime { std::chrono::hours(1) };
    // After which the members of an unreachable zone are taken for dead.
    milliseconds unreachableLimit { std::chrono::hours(1) };

    // Members that a push goes to.
    std::size_t fanOut = 3;
    // Members that probe on behalf of another.
    std::size_t helpers = 3;
    // Zones with fewer live members are judged by the other zones too.
    std::size_t smallZone = 3;

    // Answer a suspicion of oneself by a higher version.
    bool refutes = true;
    // Doubt oneself before others after a pause, and while nobody answers.
    bool doubtsItself = true;
    // Keep the reachability of a zone apart from the death of its members.
    bool zonesApart = true;
    // Repair by comparison of digests what pushed news has missed.
    bool comparesDigests = true;
    // Remember that a member is gone.
    bool keepsTombstones = true;
};

}
