#pragma once

#include "backend/server_tracker.h"
#include "backend/start_verification.h"

#include <chrono>

namespace vanillashunt {

struct report_outcome {
    report_effect effect = report_effect::Nothing;
    // Whether the server's health must be probed, and the result passed to probed().
    bool needsProbe = false;
};

// Which starts of the server beside the node may be running, what each has reported, and which one receives
// requests. docs/design/server-starts.md has the transitions.
class server_starts {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using wall_time = std::chrono::system_clock::time_point;

    // Starts are verified by probes only if `verifies`.
    server_starts(bool verifies, time_point processStarted);

    report_outcome report(const server_report&, wall_time received, time_point now);
    void probed(const server_start&, server_health);

    // See server_tracker.
    void misdirected(const server_start& start) { m_tracker.misdirected(start); }
    void ended(const server_start& start) { m_tracker.ended(start); }
    const std::optional<server_report>& current() const { return m_tracker.current(); }

    // Whether the start has to be verified before it receives requests.
    bool isUnverified(const server_start& start) const { return m_verification.isPending(start); }

    // Whether the current start is running, verified and ready.
    bool takesWork() const;

private:
    bool m_verifies;
    server_tracker m_tracker;
    start_verification m_verification;
};

}
