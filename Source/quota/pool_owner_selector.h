#pragma once

#include "decision/member.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Selects the node whose pool an availability zone uses: the first in rendezvous order among
// those that answer. Nodes need not agree on it, since each gives any part of its share to one
// pool only.
class pool_owner_selector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit pool_owner_selector(std::uint64_t selfId);

    void setMembers(const member_list&);

    // The pool owner of a zone; nullopt if no node of the zone is known or answers. In its own
    // zone, this node is the owner if the others do not answer.
    std::optional<member> ownerOf(const std::string& availabilityZone, time_point now) const;

    // The other zones in which nodes are known.
    std::vector<std::string> otherZones(const std::string& availabilityZone) const;

    // A node did not answer a message. After two in a row it is skipped for a while.
    void unanswered(std::uint64_t memberId, time_point now);
    void answered(std::uint64_t memberId);

private:
    struct response_failures {
        std::uint32_t consecutive = 0;
        time_point skippedUntil {};
    };

    bool isSkipped(std::uint64_t memberId, time_point now) const;

    std::uint64_t m_selfId;
    // Ids of the nodes that accept new work, by zone.
    std::unordered_map<std::string, std::vector<std::uint64_t>> m_candidates;
    std::unordered_map<std::uint64_t, member> m_byId;
    std::unordered_map<std::uint64_t, response_failures> m_unanswered;
};

}
