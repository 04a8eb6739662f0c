#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace vanillashunt {

// Which availability zones this node reaches, by its own probes and calls.
// Says nothing about whether a zone's members live.
class zone_reachability {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // A member of the zone answered this node.
    void answered(const std::string& zone, time_point now);

    // A member did not answer; liveMembers are those that the zone is known to have.
    void unanswered(const std::string& zone, std::uint64_t memberId, std::size_t liveMembers, time_point now);

    // A zone is reachable until several of its members in a row did not answer.
    bool reachable(const std::string& zone) const;

    // Whether some member did not answer since one last did.
    bool doubtful(const std::string& zone) const;

    // How long the zone has been unreachable; zero while it is reachable.
    std::chrono::milliseconds unreachableFor(const std::string& zone, time_point now) const;

    // Changes with each change of any zone's reachability.
    std::uint64_t changes() const { return m_changes; }

private:
    struct zone_state {
        std::set<std::uint64_t> unanswered;
        std::uint32_t failures = 0;
        time_point firstFailure;
        bool reachable = true;
        time_point unreachableSince;
    };

    std::map<std::string, zone_state> m_zones;
    std::uint64_t m_changes = 0;
};

}
