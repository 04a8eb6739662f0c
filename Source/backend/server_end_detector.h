#pragma once

#include "backend/server_start.h"
#include "decision/request_fingerprint.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace vanillashunt {

// The end of a server process while it was running requests.
struct server_end {
    server_start start;
    // Contents of the requests that it may have been running, without duplicates.
    std::vector<request_fingerprint> running;
};

// Whether a server accepts connections at the server's address after some of its answers were lost.
enum class server_presence : std::uint8_t {
    Connected, // An earlier connection is still open, so it is the same start.
    Reachable, // It accepts a new connection: either the same start or already the next one.
    Gone, // It accepts no connection.
};

// Distinguishes the end of a server process from a single lost answer. Runs whose answers were lost,
// and runs that were cancelled shortly before, are kept until it is known whether the server is still
// running.
class server_end_detector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Records that a run ended without an answer.
    void runLost(const server_start&, request_fingerprint, time_point now);

    // Records that a run was cancelled; it may still terminate the server.
    void runCancelled(request_fingerprint, time_point now);

    // Returns whether to probe the server now: true once after answers were lost.
    bool startProbeIfDue(time_point now);

    // Whether answers were lost and it is not known yet whether the server has ended.
    bool inDoubt() const { return !m_lostRuns.empty(); }

    // Handles the result of the probe; returns the end if the server has ended.
    std::optional<server_end> probed(server_presence, time_point now);

    // Handles evidence of which start of the server is running, such as its report; returns the end of
    // the start that lost answers if this is another one.
    std::optional<server_end> serverIdentified(const server_start&, time_point now);

private:
    struct cancelled_run {
        request_fingerprint content;
        time_point time;
    };

    std::optional<server_end> takeEnd(time_point now);

    std::optional<server_start> m_start;
    std::vector<request_fingerprint> m_lostRuns;
    std::deque<cancelled_run> m_cancelledRuns;
    time_point m_firstLoss;
    bool m_probeStarted = false;
    bool m_isReachable = false;
};

}
