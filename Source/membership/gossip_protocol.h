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
    std::function<void(const std::string& address, const gossip_message&)> send;
    random_hook random;
    // What this node has of that which all are to know.
    std::function<document_versions()> ownVersions;
    // Told of the versions in each datagram from a member.
    std::function<void(const member&, const document_versions&)> peerVersions;
    // Told that a newer process goes by the own name or address.
    std::function<void()> superseded;
};

// The members as one node sees them, and everything that it tells others of
// them: SWIM with suspicion within the own availability zone, low-rate probes
// of the other zones, pushed news and periodic comparison of digests. It knows
// no sockets and no clock; datagrams go through hooks.
class gossip_protocol {
public:
    using time_point = std::chrono::steady_clock::time_point;

    gossip_protocol(const member& self, const membership_options&, gossip_hooks, time_point now);

    void receive(const gossip_message&, time_point now);

    // To be called every few ten milliseconds.
    void tick(time_point now);

    // Changes the own entry and lets the others know at once. Only service, slots,
    // operator address and state count. After the state Left it says nothing more.
    void setSelf(const member&, time_point now);

    // Pushes at once, since one of the own versions has risen.
    void spreadSoon(time_point now);

    // Addresses of nodes that may or may not be members yet; replaces those given before.
    void setContacts(const std::vector<std::string>& addresses, time_point now);

    // What came of a call to a member; counts towards the reachability of its zone.
    void callEnded(std::uint64_t memberId, bool answered, time_point now);

    // Members that live, each with whether this node reaches it.
    member_list snapshot() const;

    // Changes with each change of the snapshot.
    std::uint64_t changes() const { return m_changes + m_zones.changes(); }

    // Whether no other member has answered for a while.
    bool alone(time_point now) const;

    const member_table& table() const { return m_table; }
    const zone_reachability& zones() const { return m_zones; }
    const local_health& health() const { return m_health; }
    const state_exchange& exchange() const { return m_exchange; }
    // Members that this node itself, not by the word of others, took for dead.
    std::uint64_t deathsDeclared() const { return m_deathsDeclared; }
    std::uint64_t suspicionsRaised() const { return m_suspicionsRaised; }
    std::size_t queuedUpdates() const { return m_news.size(); }
    bool reachable(const member&) const;

private:
    exchange_hooks exchangeHooks();
    void noteTime(time_point now);
    void mergeUpdates(const gossip_message&, time_point now);
    void heardOfSelf(const member_update&, const std::string& senderAddress, time_point now);
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
    void askHelpers(const probe&, time_point now);
    void probeFailed(const probe&, time_point now);
    void expireSuspicions(time_point now);
    void retireUnreachable(time_point now);
    void greetContacts(time_point now);
    // Whether this node may declare the member dead.
    bool judges(const member&) const;

    void push(time_point now);
    void appendNews(gossip_message&, time_point now);
    std::vector<std::uint64_t> pushTargets() const;
    void send(const std::string& address, gossip_message, time_point now);
    void sendNews(std::uint64_t memberId, const std::string& address, gossip_message, time_point now);
    std::vector<std::uint64_t> otherLive(const std::string& zone) const;
    std::uint32_t transmissions() const;

    membership_options m_options;
    gossip_hooks m_hooks;
    member_table m_table;
    dissemination_queue m_news;
    local_health m_health;
    failure_detector m_probes;
    suspicion_timers m_suspicions;
    zone_reachability m_zones;
    state_exchange m_exchange;
    probe_schedule m_schedule;
    push_schedule m_pushes;
    time_point m_started;
    time_point m_selfStarted;
    time_point m_now;
    // How many probes in a row each member has not answered.
    std::unordered_map<std::uint64_t, std::uint32_t> m_unanswered;
    relayed_pings m_relayed;
    std::set<std::string> m_contacts;
    std::vector<std::string> m_zoneRound;
    std::uint64_t m_changes = 1;
    std::uint64_t m_deathsDeclared = 0;
    std::uint64_t m_suspicionsRaised = 0;
    bool m_left = false;
    bool m_joining = true;
    bool m_merging = false;
    std::uint32_t m_newsOfExchange = 0;
    time_point m_nextOwnProbe;
    time_point m_nextZoneProbe;
    time_point m_nextGreeting;
    time_point m_nextSweep;
    time_point m_lastExchange;
};

}
