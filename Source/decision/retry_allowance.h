#pragma once

#include "decision/sliding_window_counter.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// What all nodes together may spend on sending requests to a second server.
struct retry_allowance_settings {
    // Repeats for each request to a service, within the window.
    double ratio = 0.2;
    // Repeats of a service within the window beside that, for the whole fleet.
    double slack = 0;
    std::chrono::milliseconds window { 10000 };
};

// This node's part of the fleet's allowance, kept without a word to the others:
// the ratio of the requests that it has sent itself, and an even part of the
// slack. The sum of such parts is the whole at most.
class retry_allowance {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The time is when the process started.
    retry_allowance(const retry_allowance_settings&, time_point started);

    // Nodes that share the slack, this one among them.
    void setNodes(std::size_t nodes);

    // A request that entered here has come as far as a server of the service.
    void requested(const std::string& service, time_point now);

    // Takes one repeat; false where the part is used up.
    bool take(const std::string& service, time_point now);

private:
    struct service_window {
        sliding_window_counter requests;
        sliding_window_counter repeats;
    };

    service_window& windowOf(const std::string& service);

    double ownSlack(time_point now) const;

    retry_allowance_settings m_settings;
    time_point m_started;
    std::size_t m_nodes = 1;
    std::unordered_map<std::string, service_window> m_windows;
};

}
