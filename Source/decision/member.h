#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// Whether a member is there, as its availability zone sees it.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, // Did not answer; may still answer for itself.
    Draining, // Takes no new work and finishes what it has.
    Left, // Gone on purpose.
    Dead, // Gone for longer than suspicion lasts.
};

std::string toString(member_state);

// One node and the backend server beside it, as the other nodes know them.
struct member {
    // Incarnation: random, new at each process start; names the member.
    std::uint64_t id = 0;
    // Raised by the member itself to refute a suspicion or to change its entry.
    std::uint64_t version = 0;
    std::string name;
    std::string availabilityZone;
    std::string region;
    // Where peers call it, as advertised: "IP:port", TCP and UDP.
    std::string address;
    // Where its operator port listens, as advertised.
    std::string operatorAddress;
    // The backend server's service; empty while none is announced.
    std::string service;
    // Calls that the backend server takes at once.
    std::uint32_t slots = 0;
    member_state state = member_state::Alive;
    // Whether this node reaches it. Not on the wire: a member that one node
    // cannot reach may be well, for example in a zone that is cut off.
    bool reachable = true;
    // The member's age when this entry was made, by its own clock.
    std::chrono::milliseconds uptime { 0 };
    // When this node received that age, on this node's clock. Not on the wire.
    std::chrono::steady_clock::time_point uptimeReceived;
};

// What routing reads: a snapshot that nobody changes.
using member_list = std::shared_ptr<const std::vector<member>>;

}
