#pragma once

#include "routes/organisation.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

// One of the services that a route's requests are divided among.
struct route_destination {
    std::string service;
    // Its part of the requests, relative to the sum of the route's weights.
    double weight = 1;
};

// What an operator says of the requests to one host below one prefix.
struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // At least one.
    std::vector<route_destination> destinations;
    // Whether a request may run more than once.
    bool idempotent = false;
    // Longest time that a request is kept waiting.
    std::chrono::milliseconds timeout { 0 };
    // Time within which its caller wants an answer; a later one is of less use.
    std::chrono::milliseconds targetLatency { 0 };
    // Servers to which one request may be sent, at most.
    std::uint32_t maxAttempts = 1;
    // 0 is the highest rank.
    std::uint32_t priority = 0;
    // Whether its requests need no key of an organisation.
    bool isPublic = false;
};

// What an operator says of the servers of one service.
struct route_service {
    std::string name;
    std::string healthPath;
    // Connections that one server accepts from all callers together; 0 if it is not said.
    std::uint32_t maxConnections = 0;
};

// What a client may send, and how long it may take.
struct client_limits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // From the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout { 5000 };
    // How long a connection without a request is kept.
    std::chrono::milliseconds idleTimeout { 60000 };
};

// One version of everything that the operator has said.
struct route_configuration {
    // Versions compare as numbers; 0 before any is known.
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<route_service> services;
    std::vector<organisation> organisations;
    // Whether the operator tells organisations apart, so that requests need a key.
    bool requiresKeys = false;
    client_limits limits;
};

using route_snapshot = std::shared_ptr<const route_configuration>;

}
