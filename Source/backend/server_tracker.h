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
    Nothing, // It was late, or of a start that is over.
    Updated,
    Replaced, // Another start of the server, which knows nothing of the last one.
    Leaving, // The server takes no new work from now on.
    Unclear, // It lacks the time of the start, which this server's reports have: not the server's own.
    LeavingUnknown, // A server other than the current one deregistered.
};

std::string toString(report_effect);

// Knows which start of the server beside the node is there, and whether it takes
// work, by reports that may come late, twice or from a server that is gone.
class server_tracker {
public:
    using wall_time = std::chrono::system_clock::time_point;

    // `received` is the arrival time by the wall clock of the server's machine. Without it,
    // a deregistration of an unknown server that names no start covers all starts of that id.
    report_effect report(const server_report&, std::optional<wall_time> received = std::nullopt);

    // The server at the address says that it is another than this one. If a late
    // report put this one in the place of another, that one counts again.
    void misdirected(const server_start&);

    // That start of the server is not there any more. It gets nothing until a report, of
    // whichever start, tells that there is one.
    void ended(const server_start&);

    // Nothing while no server is known.
    const std::optional<server_report>& current() const { return m_current; }

    // Whether the server is known and there, and has not said that it leaves.
    bool takesWork() const;

private:
    // A deregistration that names no start; it covers every start born up to its arrival.
    struct deregistration {
        std::string instanceId;
        std::optional<wall_time> received;
    };

    bool lacksBorn(const server_start&) const;
    bool isOver(const server_start&) const;
    void retire(const server_start&);
    report_effect replace(const server_report&);
    report_effect leave(const server_report&, std::optional<wall_time> received);
    void recordDeregistration(deregistration);
    void dropExpiredDeregistrations(std::optional<wall_time> now);
    bool isDeregistered(const server_start&) const;

    std::optional<server_report> m_current;
    bool m_ended = false;
    // The one that the current one has replaced.
    std::optional<server_report> m_previous;
    // Starts that are over, the latest last.
    std::deque<server_start> m_retired;
    std::deque<deregistration> m_deregistrations;
};

}
