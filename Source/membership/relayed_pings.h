#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// A ping that this node has sent on behalf of another member.
struct relayed_ping {
    // Address of the member that asked for the ping.
    std::string requester;
    // Sequence number of the requester's probe.
    std::uint32_t requesterSequence = 0;
    // When the requester stops waiting for the answer.
    std::chrono::steady_clock::time_point deadline;
};

// The pings sent on behalf of other members and not answered yet, by this node's
// sequence number.
class relayed_pings {
public:
    void add(std::uint32_t ownSequence, const relayed_ping&);

    // Removes and returns the ping with this sequence number; returns nothing if there
    // is none.
    std::optional<relayed_ping> takeAnswered(std::uint32_t ownSequence);

    // Drops the pings whose deadline has passed.
    void dropExpired(std::chrono::steady_clock::time_point now);

private:
    std::unordered_map<std::uint32_t, relayed_ping> m_pings;
};

}
