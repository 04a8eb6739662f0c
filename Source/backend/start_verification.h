#pragma once

#include "backend/server_report.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace vanillashunt {

// Result of a health probe of a backend server.
enum class server_health : std::uint8_t {
    Serving,
    NotServing, // It is leaving or unhealthy, or another server answered.
    Unknown, // No answer, or one that does not show the health.
};

// Verifies a start of which this process may have heard by a delayed report, while the start has deregistered with
// an earlier process of the node. The server's health is probed first. Once a probe has shown that the start
// does not serve, it is probed again with its reports, until one shows that it serves, or a report arrives
// that was sent after this process had started: the server would have deregistered with this one.
class start_verification {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // No report is delayed for longer.
    static constexpr std::chrono::seconds maxReportDelay { 10 };

    // Minimum time between two probes of a start.
    static constexpr std::chrono::milliseconds minProbePeriod { 1000 };

    explicit start_verification(time_point processStarted)
        : m_processStarted(processStarted)
    {
    }

    // Whether a report that arrives now may have been sent before this process started.
    bool mayPrecedeProcess(time_point now) const { return now - m_processStarted < maxReportDelay; }

    // Begins the verification with the first report of a start. The server must be probed.
    void begin(const server_report&, time_point now);

    // Whether the report shows that the start has not deregistered with an earlier process.
    bool isProvenBy(const server_report&, time_point now) const;

    void end(const server_start&);

    // Whether the server must be probed once more, as a further report of the start has arrived.
    bool takeProbe(const server_start&, time_point now);

    void probed(const server_start&, server_health);

    // Whether the start is unverified and must not receive work yet.
    bool isPending(const server_start&) const;

private:
    struct unverified_start {
        // Of the first report.
        server_start start;
        std::uint64_t sequence = 0;
        time_point lastProbe;
        // Whether a probe has shown that it does not serve.
        bool isRefuted = false;
    };

    std::deque<unverified_start>::iterator find(const server_start&);
    std::deque<unverified_start>::const_iterator find(const server_start&) const;

    time_point m_processStarted;
    std::deque<unverified_start> m_pending;
};

}
