#pragma once

#include "decision/member.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// Counts the nodes of this availability zone that may be running, whether or not this node
// reaches them. Each node's share is divided by the count, so that the sum of the shares never
// exceeds the whole. A node that fell silent may be running behind a network partition; one that
// left on purpose, or whose name was taken over by a newer process, is not running.
class zone_node_counter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // started: when the process started.
    zone_node_counter(std::string availabilityZone, time_point started);

    void setMembers(const member_list&, time_point now);

    // nullopt while this node does not know its zone yet, because it has just started or is still
    // learning of new nodes.
    std::optional<std::size_t> count(time_point now) const;

private:
    // The node that has, or had last, a given name.
    struct named_node {
        member_state state = member_state::Alive;
        // Since when no member has the name; nullopt while one has it.
        std::optional<time_point> absentSince;
    };

    std::string m_zone;
    time_point m_started;
    time_point m_lastJoined;
    std::map<std::string, named_node> m_nodes;
};

}
