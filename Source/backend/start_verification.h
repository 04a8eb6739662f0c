#pragma once

#include "backend/server_report.h"

#include <cstdint>
#include <optional>

namespace vanillashunt {

// Result of a health probe of a backend server.
enum class server_health : std::uint8_t {
    Serving,
    NotServing, // It is leaving or unhealthy, or another server answered.
    Unknown, // No answer, or one that does not show the health.
};

// Verifies a start that is reported to a process which knows no other start of the server. The
// report may be a delayed duplicate from a server that has since deregistered with an earlier process,
// so the server's health is probed first. A report with a higher sequence number also verifies the start,
// which limits the effect of a wrong health answer to one heartbeat.
class start_verification {
public:
    // Handles a report that is the first one or updates a known start. Returns whether to probe the server.
    bool reported(const server_report&, bool isFirst);

    void probed(const server_start&, server_health);

    // Whether the start is unverified and must not receive work yet.
    bool isPending(const server_start& start) const { return m_pending && m_pending->start == start; }

private:
    // The first report of the start that is being verified.
    std::optional<server_report> m_pending;
};

}
