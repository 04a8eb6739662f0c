#pragma once

#include "backend/server_report.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace vanillashunt {

// What a report changed.
enum class report_effect {
    Nothing, // It was outdated or from a start that has ended.
    Updated,
    Replaced, // From another start of the server, which has no state of the previous one.
    Leaving, // The server accepts no new requests from now on.
    Unclear, // Lacks the start time that this server always reports, so the server did not send it.
    LeavingUnknown, // A server other than the current one deregistered.
};

std::string toString(report_effect);

// Determines which start of the server beside the node is running and whether it accepts requests,
// from reports that may be delayed, duplicated or from a server that has ended.
class server_tracker {
public:
    using wall_time = std::chrono::system_clock::time_point;

    // `received` is the arrival time by the wall clock of the server's machine. Without it, a
    // deregistration of an unknown server without a start time applies to all starts of that id.
    report_effect report(const server_report&, std::optional<wall_time> received = std::nullopt);

    // Handles an answer of the server at the address that it is not this start (status 421). If a
    // delayed report of this start replaced another one, the other one becomes current again.
    void misdirected(const server_start&);

    // Records that this start of the server has ended. No requests are sent until a report from any
    // start arrives.
    void ended(const server_start&);

    // The last report of the current start; nothing while no server is known.
    const std::optional<server_report>& current() const { return m_current; }

    // Whether a server is known and running, and is not draining or deregistered.
    bool takesWork() const;

private:
    // A deregistration without a start time; it applies to every start born up to its arrival.
    struct deregistration {
        std::string instanceId;
        std::optional<wall_time> received;
    };

    bool lacksExpectedBorn(const server_start&) const;
    bool hasEnded(const server_start&) const;
    void retire(const server_start&);
    report_effect replace(const server_report&);
    report_effect leave(const server_report&, std::optional<wall_time> received);
    void recordDeregistration(deregistration);
    void dropExpiredDeregistrations(std::optional<wall_time> now);
    bool isDeregistered(const server_start&) const;

    std::optional<server_report> m_current;
    bool m_ended = false;
    // The last report of the start that the current one replaced.
    std::optional<server_report> m_previous;
    // Starts that have ended, the most recent last.
    std::deque<server_start> m_retired;
    std::deque<deregistration> m_deregistrations;
};

}
