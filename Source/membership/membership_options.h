#pragma once

#include <chrono>
#include <cstddef>

namespace vanillashunt {

// Times, limits and rules of membership. Tests can switch off each rule.
struct membership_options {
    using milliseconds = std::chrono::milliseconds;

    // Interval between two probes of members of this node's availability zone.
    milliseconds probePeriod { 500 };
    // Time for the answer to a direct ping, before relays are asked to ping the member.
    milliseconds probeTimeout { 300 };
    // Time for the answer to an indirect ping.
    milliseconds indirectTimeout { 400 };
    // Time for a suspected member to refute the suspicion.
    milliseconds suspicionTime { 2500 };
    // Approximate interval between two probes of the same other availability zone.
    milliseconds zoneProbeInterval { 4000 };
    // Gap between two ticks or messages from which on this node counts as paused.
    milliseconds pauseGap { 400 };
    // Delay between the first and the second push of an update.
    milliseconds secondPushDelay { 200 };
    // Time without changes on both sides after which differing digests start a state
    // exchange.
    milliseconds settleTime { 3000 };
    // Time since the last state exchange after which differing digests start another one
    // even while updates are still spreading.
    milliseconds maxUnsettledTime { 10000 };
    // Interval between pings to the contact addresses while this node is alone.
    milliseconds joinPeriod { 1000 };
    // The same while there are other members; rejoins meshes after a partition.
    milliseconds rejoinPeriod { 30000 };
    // How long a member that left or died is kept as a tombstone.
    milliseconds tombstoneLifetime { std::chrono::hours(1) };
    // Time after which the members of an unreachable zone are declared dead.
    milliseconds unreachableLimit { std::chrono::hours(1) };

    // Number of members that a push is sent to.
    std::size_t fanOut = 3;
    // Number of members that are asked to ping a member that did not answer.
    std::size_t relayCount = 3;
    // In zones with fewer live members, other zones may declare members dead too.
    std::size_t smallZoneSize = 3;

    // Refute a suspicion of this node by raising its version.
    bool refutes = true;
    // Do not suspect others after a pause of this node or while nobody answers it.
    bool checksOwnHealth = true;
    // Keep the reachability of a zone separate from the death of its members: an
    // unreachable zone alone is no reason to declare them dead.
    bool separatesZoneReachability = true;
    // Compare digests to find and repair updates that pushes have missed.
    bool comparesDigests = true;
    // Keep tombstones of members that left or died.
    bool keepsTombstones = true;
};

}
