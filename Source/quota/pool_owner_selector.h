#pragma once

#include "decision/member.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Chooses the node whose pool an availability zone uses: the first in rendezvous order of
// those that answer. Nodes need not agree: what each gives away, it gives to one.
class pool_owner_selector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit pool_owner_selector(std::uint64_t selfId);

    void setMembers(const member_list&);

    // The owner for a zone; nothing where nobody of it is known or answers. This node itself
    // stands in for the others of its own zone.
    std::optional<member> of(const std::string& availabilityZone, time_point now) const;

    // The other zones of which somebody is known.
    std::vector<std::string> zonesBeside(const std::string& availabilityZone) const;

    // Nothing came back from a node, once; the second time in a row it is passed over for a while.
    void unanswered(std::uint64_t memberId, time_point now);
    void answered(std::uint64_t memberId);

private:
    struct silence {
        std::uint32_t inARow = 0;
        time_point passedOverUntil {};
    };

    bool isPassedOver(std::uint64_t memberId, time_point now) const;

    std::uint64_t m_selfId;
    // The nodes of each zone that take new work, by id.
    std::unordered_map<std::string, std::vector<std::uint64_t>> m_candidates;
    std::unordered_map<std::uint64_t, member> m_byId;
    std::unordered_map<std::uint64_t, silence> m_silent;
};

}
