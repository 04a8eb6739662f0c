#pragma once

#include "backend/server_start.h"
#include "decision/server_notice.h"
#include "events/event_limiter.h"

#include <chrono>
#include <string>

namespace vanillashunt {

// The rate limit in requests per second; empty if the notice names none.
std::string rateLimitText(const server_notice&);

// Logs what the backend server announces in its answers. A limit may change with each answer, so
// only some of the changes are written.
class server_notice_log {
public:
    server_notice_log();

    void changed(const server_start&, const server_notice&, std::chrono::steady_clock::time_point now);

private:
    event_limiter m_limiter;
    // The start whose leaving was logged.
    std::uint64_t m_leavingStart = 0;
    std::string m_loggedLimit;
};

}
