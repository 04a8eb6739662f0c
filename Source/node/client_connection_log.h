#pragma once

#include "caller/connection_loss.h"
#include "events/event_limiter.h"

#include <chrono>
#include <cstddef>

namespace vanillashunt {

// Logs what happens to client connections; repetitions are left out.
class client_connection_log {
public:
    client_connection_log();

    // No further request is accepted on a connection before one of its unanswered requests is answered.
    void full(std::size_t unanswered, std::chrono::steady_clock::time_point now);

    void lost(const connection_loss&, std::chrono::steady_clock::time_point now);

private:
    event_limiter m_limiter;
};

}
