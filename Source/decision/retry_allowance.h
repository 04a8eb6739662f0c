#pragma once

#include "decision/sliding_window_counter.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// Limits on retries at a second server, for all nodes together.
struct retry_allowance_settings {
    // Retries per request to a service within the window.
    double ratio = 0.2;
    // Additional retries per service within the window, for the whole fleet.
    double slack = 0;
    std::chrono::milliseconds window { 10000 };
};

// This node's share of the fleet's retry allowance, kept without communication between
// nodes: the ratio of the requests that it has sent itself, and an equal share of the
// slack. The shares of all nodes never add up to more than the whole allowance.
class retry_allowance {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // started: when the process started.
    retry_allowance(const retry_allowance_settings&, time_point started);

    // The number of nodes that share the slack, including this one.
    void setNodes(std::size_t nodes);

    // A request that entered the fleet at this node was sent to a server of the service.
    void requested(const std::string& service, time_point now);

    // Takes one retry; returns false if this node's share is used up.
    bool take(const std::string& service, time_point now);

private:
    struct service_window {
        sliding_window_counter requests;
        sliding_window_counter retries;
    };

    service_window& windowOf(const std::string& service);

    double slackShare(time_point now) const;

    retry_allowance_settings m_settings;
    time_point m_started;
    std::size_t m_nodes = 1;
    std::unordered_map<std::string, service_window> m_windows;
};

}
