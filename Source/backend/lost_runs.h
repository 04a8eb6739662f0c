#pragma once

#include "backend/server_start.h"
#include "decision/request_fingerprint.h"

#include <chrono>
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

// Tells the end of a server from an answer that was lost. The runs whose answers were
// lost, or that were cancelled a moment before, are kept until it is known whether the
// server is still there.
class lost_runs {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // A run ended without an answer.
    void lost(const server_start&, request_fingerprint, time_point now);

    // A run was cancelled; the server may end under it all the same.
    void cancelled(request_fingerprint, time_point now);

    // Whether the server is to be asked now; true once for each doubt.
    bool takeDue(time_point now);

    // The server answers: whatever was lost, it has not ended.
    void serverLives();

    // The server is gone. Nothing if there was no doubt.
    std::optional<server_end> serverEnded(time_point now);

private:
    struct cancelled_run {
        request_fingerprint content;
        time_point at;
    };

    std::optional<server_start> m_start;
    std::vector<request_fingerprint> m_lost;
    std::deque<cancelled_run> m_cancelled;
    time_point m_since;
    bool m_asked = false;
};

}
