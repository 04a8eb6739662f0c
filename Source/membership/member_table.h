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

// What this node knows of one member, and why.
struct member_record {
    member entry;
    std::string reason;
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

// All members that this node knows, and the rules by which updates are merged:
// the higher version wins; of equal versions the worse state does; gone members
// are remembered for a while, so that old news cannot bring them back.
class member_table {
public:
    using time_point = std::chrono::steady_clock::time_point;
    // Called with each member whose entry has changed.
    using change_hook = std::function<void(std::uint64_t memberId)>;

    member_table(membership_options, change_hook);

    // The own entry; no update changes it.
    void setSelf(const member&, time_point now);
    const member& self() const { return m_records.at(m_selfId).entry; }

    void merge(const member_update&, const std::string& reason, time_point now);

    // Sets a state that this node has found out; a member that is gone stays gone.
    void judge(std::uint64_t memberId, member_state, const std::string& reason, time_point now);

    void forgetTombstones(time_point now);

    const member_record* find(std::uint64_t memberId) const;
    const std::map<std::string, zone_members>& zones() const { return m_zones; }
    const std::vector<std::uint64_t>& liveIn(const std::string& zone) const;
    std::size_t liveCount() const { return m_liveCount; }
    const std::unordered_map<std::uint64_t, member_record>& records() const { return m_records; }
    // Live members and tombstones of one bucket of a zone.
    std::vector<std::uint64_t> inBucket(const std::string& zone, std::size_t bucket) const;

    bool hasLiveAddress(const std::string& address) const;

    // One hash over everyone that lives.
    std::uint64_t digest() const;
    time_point lastChange() const { return m_lastChange; }

    // What to tell others of a member; its age is as of now.
    member_update updateOf(std::uint64_t memberId, time_point now) const;

private:
    bool isNews(const member_update&) const;
    void store(const member_update&, const std::string& reason, time_point now);
    void supersede(std::uint64_t memberId, time_point now);
    void retireOlder(std::uint64_t first, std::uint64_t second, time_point now);
    void setState(member_record&, member_state, const std::string& reason, time_point now);
    void enter(const member&);
    void leave(const member&);
    void changed(const member_record&, time_point now);

    membership_options m_options;
    change_hook m_changeHook;
    std::uint64_t m_selfId = 0;
    std::unordered_map<std::uint64_t, member_record> m_records;
    std::map<std::string, zone_members> m_zones;
    // Who goes by a name in a zone, and by an address.
    std::unordered_map<std::string, std::uint64_t> m_byName;
    std::unordered_map<std::string, std::uint64_t> m_byAddress;
    std::deque<std::uint64_t> m_tombstones;
    std::size_t m_liveCount = 0;
    time_point m_lastChange;
};

}
