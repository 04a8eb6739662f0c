#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// On whose behalf a ping was sent, and by which number the requester knows it.
struct relayed_ping {
    std::string requester;
    std::uint32_t requesterSequence = 0;
    // When the requester no longer waits for the answer.
    std::chrono::steady_clock::time_point until;
};

// The pings that this node has sent for others and that are not answered yet.
class relayed_pings {
public:
    void add(std::uint32_t ownSequence, const relayed_ping&);

    // The ping that this is the answer to, if it is one; it is forgotten with that.
    std::optional<relayed_ping> takeAnswered(std::uint32_t ownSequence);

    // Drops those that nobody waits for any more.
    void forget(std::chrono::steady_clock::time_point now);

private:
    std::unordered_map<std::uint32_t, relayed_ping> m_pings;
};

}
