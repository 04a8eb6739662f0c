#pragma once

#include "backend/server_start.h"
#include "decision/request_fingerprint.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace vanillashunt {

// A start of the server that ended while it had requests.
struct server_end {
    server_start start;
    // The contents that it had begun to run, each once.
    std::vector<request_fingerprint> running;
};

// Whether something serves at the server's address, after some of its answers were lost.
enum class server_presence : std::uint8_t {
    Connected, // A connection is open that it had taken before: it is the same start.
    Reachable, // It takes a new connection: the same start, or the next one already.
    Gone, // It takes none.
};

// Tells the end of a server from an answer that was lost. The runs whose answers were
// lost, or that were cancelled a moment before, are kept until it is known whether the
// server is still there.
class server_end_detector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // A run ended without an answer.
    void runLost(const server_start&, request_fingerprint, time_point now);

    // A run was cancelled; the server may end under it all the same.
    void runCancelled(request_fingerprint, time_point now);

    // Whether the server is to be asked now; true once for each doubt.
    bool startProbeIfDue(time_point now);

    bool inDoubt() const { return !m_lost.empty(); }

    // What came of asking; returns the end, if it was one.
    std::optional<server_end> probed(server_presence, time_point now);

    // A start of the server is there: a report, or its answer that it is not another one.
    std::optional<server_end> serverIdentified(const server_start&, time_point now);

private:
    struct cancelled_run {
        request_fingerprint content;
        time_point at;
    };

    std::optional<server_end> takeEnd(time_point now);

    std::optional<server_start> m_start;
    std::vector<request_fingerprint> m_lost;
    std::deque<cancelled_run> m_cancelled;
    time_point m_since;
    bool m_asked = false;
    bool m_reachable = false;
};

}
