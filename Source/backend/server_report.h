#pragma once

#include "backend/server_start.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace vanillashunt {

enum class server_condition : std::uint8_t {
    Ready,
    Draining, // Accepts no new requests and finishes those in progress.
    Left, // Has deregistered.
};

std::string toString(server_condition);

// A heartbeat or a deregistration of the backend server beside the node.
struct server_report {
    server_start start;
    server_condition condition = server_condition::Ready;
    // Empty in a deregistration.
    std::string service;
    // Address that it listens on: "IP:port".
    std::string address;
    // Maximum number of requests that it runs concurrently.
    std::uint32_t slots = 0;
    // Remaining time until it reaches full speed after its start.
    std::chrono::milliseconds warmupLeft { 0 };
    // Increases with each report of the same start.
    std::uint64_t sequence = 0;
};

}
