#pragma once

#include "call/server_load.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// Tracks how fast the backend server beside this node works: its current slowdown, which the
// server reports for its machine, and its mean service time for each class of requests. It allows
// balancing calls over servers that differ in speed, and over machines that are shared with others
// and become slow for fractions of a second.
class server_pace {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Discards all measurements, because another server process has started.
    void reset();

    // Takes in a load report of the server. The report is discarded if it contradicts the slots that
    // the server announced, or the number of calls that this node runs at the server.
    void updateLoad(const server_load&, std::uint32_t announcedSlots, std::uint32_t ownRunning, time_point now);

    // Takes in the time that a call of the class has run at the server.
    void recordRun(const std::string& requestClass, std::chrono::microseconds);

    // Whether the server reports its speed, so that other nodes can use the measurements.
    bool isSpeedKnown(time_point now) const;

    // Current duration of work relative to the usual duration; 1 without a recent report.
    double slowdown(time_point now) const;

    // Whether a call should run at another server if one has a free slot.
    bool isSlow(time_point now) const;

    // Mean service time of calls of the class; nothing before some have run, or if the server does
    // not report its speed.
    std::optional<std::chrono::microseconds> meanServiceTime(const std::string& requestClass, time_point now) const;

    // Number of load reports that contradicted what the node itself knows.
    std::uint64_t contradictions() const { return m_contradictions; }

private:
    struct class_service_time {
        double meanMicroseconds = 0;
        std::uint32_t runs = 0;
    };

    bool contradicts(const server_load&, std::uint32_t announcedSlots, std::uint32_t ownRunning) const;

    std::unordered_map<std::string, class_service_time> m_serviceTimes;
    double m_slowdown = 1;
    std::optional<time_point> m_reportedAt;
    std::optional<time_point> m_contradictedAt;
    std::uint64_t m_contradictions = 0;
};

}
