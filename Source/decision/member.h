#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// The state of a member, as its availability zone sees it.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, // Did not answer; may still refute the suspicion.
    Draining, // Takes no new work and finishes what it has.
    Left, // Left on purpose.
    Dead, // Did not refute the suspicion in time.
};

std::string toString(member_state);

// A node and its backend server, as other nodes know them.
struct member {
    // Incarnation: identifies the member; random, new at each process start.
    std::uint64_t id = 0;
    // Incremented by the member itself to refute a suspicion or to change its entry.
    std::uint64_t version = 0;
    std::string name;
    std::string availabilityZone;
    std::string region;
    // Advertised address for peers: "IP:port", TCP and UDP.
    std::string address;
    // Advertised address of its operator port.
    std::string operatorAddress;
    // The service of the backend server; empty while none is announced.
    std::string service;
    // Calls that the backend server runs concurrently.
    std::uint32_t slots = 0;
    member_state state = member_state::Alive;
    // Whether this node reaches it. Not on the wire: a member that one node cannot
    // reach may be healthy, for example in a zone behind a network partition.
    bool reachable = true;
    // The member's uptime when it made this entry, by its own clock.
    std::chrono::milliseconds uptime { 0 };
    // When this node received that uptime, on this node's clock. Not on the wire.
    std::chrono::steady_clock::time_point uptimeReceived;
};

// An immutable snapshot for routing.
using member_list = std::shared_ptr<const std::vector<member>>;

}
