#pragma once

#include "membership/gossip_message.h"
#include "membership/membership_options.h"
#include "membership/zone_digest.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// What this node knows about one member, and from where.
struct member_record {
    member entry;
    // Why the entry has its state, for operators.
    std::string reason;
    // When the entry last changed.
    std::chrono::steady_clock::time_point changed;
    // Whether more than id, version and state is known.
    bool whole = false;
};

// The live members of one availability zone.
struct zone_members {
    std::vector<std::uint64_t> live;
    zone_digest digest;
};

// Whether a member in this state is still expected to answer.
bool isLive(member_state);

// All members that this node knows, and the rules by which updates are merged: the
// higher version wins; of equal versions, the state with the higher precedence wins.
// Members that left or died are kept as tombstones for a while, so that a stale
// update cannot revive them.
class member_table {
public:
    using time_point = std::chrono::steady_clock::time_point;
    // Called with each member whose entry has changed.
    using change_hook = std::function<void(std::uint64_t memberId)>;

    member_table(membership_options, change_hook);

    // Sets this node's entry, which updates of others do not change.
    void setSelf(const member&, time_point now);
    const member& self() const { return m_records.at(m_selfId).entry; }

    // Stores the update if it is newer than the known entry.
    void merge(const member_update&, const std::string& reason, time_point now);

    // Sets a state that this node has detected itself, if it takes precedence over the
    // known state.
    void declareState(std::uint64_t memberId, member_state, const std::string& reason, time_point now);

    // Removes the tombstones whose lifetime is over.
    void expireTombstones(time_point now);

    // Returns null for an unknown member.
    const member_record* find(std::uint64_t memberId) const;
    const std::map<std::string, zone_members>& zones() const { return m_zones; }
    const std::vector<std::uint64_t>& liveIn(const std::string& zone) const;
    std::size_t liveCount() const { return m_liveCount; }
    const std::unordered_map<std::uint64_t, member_record>& records() const { return m_records; }
    // Returns the live members and the tombstones of one bucket of a zone.
    std::vector<std::uint64_t> membersInBucket(const std::string& zone, std::size_t bucket) const;

    bool hasLiveAddress(const std::string& address) const;

    // Returns one hash over all live members.
    std::uint64_t digest() const;
    time_point lastChange() const { return m_lastChange; }

    // Returns the update that tells others about a member, with its uptime as of now.
    // Throws std::out_of_range if the member is unknown.
    member_update makeUpdate(std::uint64_t memberId, time_point now) const;

private:
    bool isNewer(const member_update&) const;
    void store(const member_update&, const std::string& reason, time_point now);
    // Of two live processes with the same name or address, marks the older one as left.
    void retireDuplicates(std::uint64_t memberId, time_point now);
    void retireOlder(std::uint64_t first, std::uint64_t second, time_point now);
    void setState(member_record&, member_state, const std::string& reason, time_point now);
    void addLive(const member&);
    void removeLive(const member&);
    void notifyChanged(const member_record&, time_point now);

    membership_options m_options;
    change_hook m_changeHook;
    std::uint64_t m_selfId = 0;
    std::unordered_map<std::uint64_t, member_record> m_records;
    std::map<std::string, zone_members> m_zones;
    // The member that uses a name within its zone, and the one that uses an address.
    std::unordered_map<std::string, std::uint64_t> m_idByName;
    std::unordered_map<std::string, std::uint64_t> m_idByAddress;
    std::deque<std::uint64_t> m_tombstones;
    std::size_t m_liveCount = 0;
    time_point m_lastChange;
};

}
