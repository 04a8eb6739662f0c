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
// reaches them: what each may do alone is divided by the count, so that their sum is never
// too much. A node that fell silent may be cut off and at work; one that left on purpose, or
// whose name a newer process has, is not.
class zone_node_counter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The time is when the process started.
    zone_node_counter(std::string availabilityZone, time_point started);

    void setMembers(const member_list&, time_point now);

    // Nothing while this node does not know its zone yet: it has just started, or still hears
    // of nodes.
    std::optional<std::size_t> count(time_point now) const;

private:
    // What is known of whoever goes by a name.
    struct place {
        member_state state = member_state::Alive;
        // Since when nobody does; nothing while somebody does.
        std::optional<time_point> vacant;
    };

    std::string m_zone;
    time_point m_started;
    time_point m_lastGrown;
    std::map<std::string, place> m_places;
};

}
