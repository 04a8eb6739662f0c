#pragma once

#include "backend/server_start.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace vanillashunt {

enum class server_condition : std::uint8_t {
    Ready,
    Draining, // Takes no new work and finishes what it has.
    Left, // Says that it ends.
};

std::string toString(server_condition);

// What the server beside the node tells of itself, time and again.
struct server_report {
    server_start start;
    server_condition condition = server_condition::Ready;
    // Empty when it says that it ends.
    std::string service;
    // Where it serves: "IP:port".
    std::string address;
    // Requests that it runs at once.
    std::uint32_t slots = 0;
    // How much longer it is slow after its start.
    std::chrono::milliseconds warmupLeft { 0 };
    // Rises with each report of one start.
    std::uint64_t sequence = 0;
};

}
