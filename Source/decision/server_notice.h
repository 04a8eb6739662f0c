#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace vanillashunt {

// What a backend server announces about itself in an answer.
struct server_notice {
    // Requests per second that it takes from all nodes together; nothing if it names no limit.
    std::optional<double> rateLimit;
    // Whether it is leaving and must get no new requests.
    bool isLeaving = false;
};

// A notice as nodes pass it on to each other.
struct relayed_notice {
    // Hash of the start of the server that the notice applies to.
    std::uint64_t start = 0;
    server_notice notice;
    // The incarnation of the node beside the server, and the number of the notice there: later ones
    // have higher numbers.
    std::uint64_t observer = 0;
    std::uint64_t version = 0;
    // Time since the server's answer.
    std::chrono::milliseconds age { 0 };
};

}
