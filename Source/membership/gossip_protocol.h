#pragma once

#include "membership/dissemination_queue.h"
#include "membership/failure_detector.h"
#include "membership/gossip_message.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/membership_options.h"
#include "membership/probe_schedule.h"
#include "membership/push_schedule.h"
#include "membership/relayed_pings.h"
#include "membership/state_exchange.h"
#include "membership/suspicion_timers.h"
#include "membership/zone_reachability.h"

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

struct gossip_hooks {
    // Sends a datagram to the address "IP:port"; it may be lost.
    std::function<void(const std::string& address, const gossip_message&)> send;
    random_hook random;
    // Returns the versions of the replicated documents that this node holds; optional.
    std::function<document_versions()> ownVersions;
    // Called with the versions in each datagram from a known member; optional.
    std::function<void(const member&, const document_versions&)> peerVersions;
    // Called when another member reports that a newer process uses the name or address
    // of this node; optional.
    std::function<void()> superseded;
};

// The membership protocol of one node: SWIM with suspicion within its own
// availability zone, low-rate probes of the other zones, pushed updates and
// anti-entropy by comparison of digests. Independent of sockets and clocks:
// datagrams go through hooks, and callers pass the time.
class gossip_protocol {
public:
    using time_point = std::chrono::steady_clock::time_point;

    gossip_protocol(const member& self, const membership_options&, gossip_hooks, time_point now);

    void receive(const gossip_message&, time_point now);

    // Runs timers and probes; call it every few tens of milliseconds.
    void tick(time_point now);

    // Changes this node's entry and pushes it at once. Uses only service, slots, operator
    // address and state. Once the state is Left, this node sends and receives nothing.
    void setSelf(const member&, time_point now);

    // Pushes at once and once more later, after a version of this node has risen.
    void spreadSoon(time_point now);

    // Sets the addresses through which this node joins the mesh; replaces earlier ones.
    // They may belong to members that are known already.
    void setContacts(const std::vector<std::string>& addresses, time_point now);

    // Reports the outcome of a call to a member, which counts towards the reachability
    // of its availability zone.
    void callEnded(std::uint64_t memberId, bool answered, time_point now);

    // Returns the live members, each with whether this node reaches it.
    member_list snapshot() const;

    // A counter that rises with each change of the snapshot.
    std::uint64_t changes() const { return m_changes + m_zoneReachability.changes(); }

    // Whether no other live member is known, or none has answered recently.
    bool alone(time_point now) const;

    const member_table& table() const { return m_table; }
    const zone_reachability& zones() const { return m_zoneReachability; }
    const local_health& health() const { return m_health; }
    const state_exchange& exchange() const { return m_exchange; }
    // Deaths that this node declared itself after a suspicion; deaths reported by others
    // do not count.
    std::uint64_t deathsDeclared() const { return m_deathsDeclared; }
    std::uint64_t suspicionsRaised() const { return m_suspicionsRaised; }
    std::size_t queuedUpdates() const { return m_updateQueue.size(); }
    bool reachable(const member&) const;

private:
    exchange_hooks exchangeHooks();
    void detectPause(time_point now);
    void mergeUpdates(const gossip_message&, time_point now);
    // Refutes what others report about this node.
    void handleUpdateAboutSelf(const member_update&, const std::string& senderAddress, time_point now);
    void memberChanged(std::uint64_t memberId);
    void updateSelf(member, time_point now);
    void leave(time_point now);

    void pingReceived(const gossip_message&, time_point now);
    void ackReceived(const gossip_message&, time_point now);
    void pingRequestReceived(const gossip_message&, time_point now);
    void compareDigest(const gossip_message&, time_point now);

    void probeOwnZone(time_point now);
    void probeOtherZone(time_point now);
    std::string nextOtherZone();
    void startProbe(const member&, time_point now);
    void requestIndirectPings(const probe&, time_point now);
    void probeFailed(const probe&, time_point now);
    void expireSuspicions(time_point now);
    void retireUnreachable(time_point now);
    void pingContacts(time_point now);
    // Whether this node may suspect the member and declare it dead.
    bool mayDeclareDead(const member&) const;

    void push(time_point now);
    void appendUpdates(gossip_message&, time_point now);
    std::vector<std::uint64_t> pushTargets() const;
    void send(const std::string& address, gossip_message, time_point now);
    void sendWithUpdates(std::uint64_t memberId, const std::string& address, gossip_message, time_point now);
    std::vector<std::uint64_t> otherLiveMembers(const std::string& zone) const;
    std::uint32_t transmissionsPerUpdate() const;

    membership_options m_options;
    gossip_hooks m_hooks;
    member_table m_table;
    dissemination_queue m_updateQueue;
    local_health m_health;
    failure_detector m_failureDetector;
    suspicion_timers m_suspicions;
    zone_reachability m_zoneReachability;
    state_exchange m_exchange;
    probe_schedule m_probeSchedule;
    push_schedule m_pushSchedule;
    time_point m_started;
    time_point m_processStarted;
    time_point m_now;
    // Consecutive probes that each member has not answered.
    std::unordered_map<std::uint64_t, std::uint32_t> m_consecutiveFailures;
    relayed_pings m_relayedPings;
    std::set<std::string> m_contacts;
    // Other zones not yet probed in the current round.
    std::vector<std::string> m_zonesToProbe;
    std::uint64_t m_changes = 1;
    std::uint64_t m_deathsDeclared = 0;
    std::uint64_t m_suspicionsRaised = 0;
    bool m_left = false;
    // Until the first state exchange has finished.
    bool m_joining = true;
    // While the updates of an Entries message are merged.
    bool m_mergingEntries = false;
    std::uint32_t m_updatesFromExchange = 0;
    time_point m_nextOwnZoneProbe;
    time_point m_nextOtherZoneProbe;
    time_point m_nextContactPing;
    time_point m_nextSweep;
    time_point m_lastExchange;
};

}
