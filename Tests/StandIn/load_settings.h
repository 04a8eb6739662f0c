#pragma once

#include "StandIn/event_loop.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// One kind of request that the clients make.
struct load_kind {
    std::string name;
    std::string method = "GET";
    std::string path;
    std::string organisation;
    double weight = 1;
    // Whether each request has an Idempotency-Key.
    bool keyed = false;
    // How long a client waits for one attempt.
    std::chrono::microseconds timeout = std::chrono::seconds(2);
    // Answers that the whole tree has, its root among them; 0 where any will do.
    std::uint64_t treeSize = 0;
    // Bytes of the request's body.
    std::uint64_t bodyBytes = 0;
};

// A time for which arrivals have one rate.
struct load_phase {
    // Arrivals in a second.
    double rate = 0;
    std::chrono::microseconds length { 0 };
};

// What the clients do.
struct load_settings {
    std::vector<tcp_endpoint> targets;
    std::vector<load_kind> kinds;
    std::vector<load_phase> phases;
    // Repeats of one request at most.
    std::uint64_t retries = 0;
    std::chrono::microseconds retryDelay { 0 };
    // Waits as long as a refusal asks for.
    bool honourRetryAfter = false;
    // No repeat begins later than this after the first attempt; 0 is no bound.
    std::chrono::microseconds giveUp { 0 };
    // Unanswered requests that a connection may have.
    std::uint64_t ahead = 1;
    std::uint64_t seed = 1;
    // Standard output where it is empty.
    std::string outFile;
};

// Reads "name=…,method=…;name=…"; throws std::invalid_argument.
std::vector<load_kind> parseMix(const std::string& text);

// Reads "rate:seconds,…"; throws std::invalid_argument.
std::vector<load_phase> parsePhases(const std::string& text);

// Throws std::invalid_argument that names the option at fault.
load_settings parseLoadSettings(int argc, char** argv);

}
