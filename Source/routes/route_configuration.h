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
    // Its share of the requests is this weight divided by the sum of the route's weights.
    double weight = 1;
};

// The operator's rules for requests to one host whose path starts with one prefix.
struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    // Has at least one element.
    std::vector<route_destination> destinations;
    // Whether a request may safely run more than once.
    bool idempotent = false;
    // Longest time until a request is answered or refused.
    std::chrono::milliseconds timeout { 0 };
    // Time within which the caller wants an answer; a later answer is of less use.
    std::chrono::milliseconds targetLatency { 0 };
    // Maximum number of servers to which one request is sent.
    std::uint32_t maxAttempts = 1;
    // 0 is the highest rank.
    std::uint32_t priority = 0;
    // Whether requests are accepted without an organisation's key.
    bool isPublic = false;
};

// The operator's settings for the servers of one service.
struct route_service {
    std::string name;
    std::string healthPath;
    // Connections that one server accepts from all callers together; 0 if not specified.
    std::uint32_t maxConnections = 0;
};

// Limits on what a client may send and how long it may take.
struct client_limits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Time from the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTimeout { 5000 };
    // Time after which a connection without a request is closed.
    std::chrono::milliseconds idleTimeout { 60000 };
};

// One version of the operator's configuration.
struct route_configuration {
    // A higher version replaces a lower one; 0 before any version is known.
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<route_service> services;
    std::vector<organisation> organisations;
    // Whether the operator has configured organisations, so that requests need a key.
    bool requiresKeys = false;
    client_limits limits;
};

using route_snapshot = std::shared_ptr<const route_configuration>;

}
