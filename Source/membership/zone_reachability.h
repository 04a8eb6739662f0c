#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace vanillashunt {

// Which availability zones this node can reach, judged by its own probes and calls.
// An unreachable zone may still have live members.
class zone_reachability {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Records that a member of the zone answered this node.
    void recordAnswer(const std::string& zone, time_point now);

    // Records that a member did not answer; liveMembers is the number of live members
    // known in the zone.
    void recordFailure(const std::string& zone, std::uint64_t memberId, std::size_t liveMembers, time_point now);

    // A zone is reachable until several of its members have failed to answer, with no
    // answer in between.
    bool reachable(const std::string& zone) const;

    // Whether the zone is reachable and a member has failed to answer since the last answer.
    bool doubtful(const std::string& zone) const;

    // Returns how long the zone has been unreachable; zero while it is reachable.
    std::chrono::milliseconds unreachableFor(const std::string& zone, time_point now) const;

    // A counter that rises when any zone becomes reachable or unreachable.
    std::uint64_t changes() const { return m_changes; }

private:
    struct zone_state {
        std::set<std::uint64_t> silentMembers;
        std::uint32_t failures = 0;
        time_point firstFailure;
        bool reachable = true;
        time_point unreachableSince;
    };

    std::map<std::string, zone_state> m_zones;
    std::uint64_t m_changes = 0;
};

}
