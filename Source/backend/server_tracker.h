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
    LeavingUnknown, // A start other than the current one is draining or deregistered.
    HeldBack, // A start other than the current one is ready; its report may be delayed.
};

// What becomes of a start that is not known to be later than the current one.
enum class unknown_start : std::uint8_t {
    Replaces, // It becomes current.
    HeldBack, // It waits for promote() while the current one may still be running.
};

std::string toString(report_effect);

// Determines which start of the server beside the node is running and whether it accepts requests,
// from reports that may be delayed, duplicated or from a server that has ended.
class server_tracker {
public:
    using wall_time = std::chrono::system_clock::time_point;

    // `received` is the arrival time by the wall clock of the server's machine. Without it, a
    // deregistration of an unknown server without a start time applies to all starts of that id.
    report_effect report(const server_report&, std::optional<wall_time> received = std::nullopt, unknown_start = unknown_start::Replaces);

    // Makes a ready start current that is not. With `hasProof`, all other starts count as ended until they
    // report again.
    void promote(const server_start&, bool hasProof);

    // Handles an answer of the server at the address that it is not this start (status 421). If a
    // delayed report of this start replaced another one, the other one becomes current again, in the
    // condition that it has reported meanwhile.
    void misdirected(const server_start&);

    // Records that this start of the server has ended. The start that reported last and is ready becomes
    // current. If there is none, no requests are sent until a report from any start arrives.
    void ended(const server_start&);

    // The last report of the current start; nothing while no server is known.
    const std::optional<server_report>& current() const { return m_current; }

    // Whether the start is known and may be running.
    bool mayRun(const server_start&) const;

    // Whether a server is known and running, and is not draining or deregistered.
    bool takesWork() const;

private:
    // A deregistration without a start time.
    struct deregistration {
        // Whether the start was born before the deregistration arrived.
        bool appliesTo(const server_start&) const;

        std::string instanceId;
        std::optional<wall_time> received;
    };

    // A start that is not current and may still be running.
    struct other_start {
        server_report last;
        bool hasEnded = false;
    };

    bool lacksExpectedBorn(const server_start&) const;
    bool hasEnded(const server_start&) const;
    void retire(const server_start&);
    report_effect replace(const server_report&, unknown_start);
    report_effect reportOfOther(const server_report&, unknown_start);
    report_effect leave(const server_report&, std::optional<wall_time> received);
    void leaveOthers(const server_start&, const deregistration&);
    std::deque<other_start>::iterator findOther(const server_start&);
    bool mayTakeWork(const other_start&) const;
    void addOther(other_start);
    void restoreOther();
    void setCurrent(const std::deque<other_start>::iterator&);
    void recordDeregistration(deregistration);
    void dropExpiredDeregistrations(std::optional<wall_time> now);
    bool isDeregistered(const server_start&) const;

    std::optional<server_report> m_current;
    bool m_ended = false;
    // The one that reported last is the last. A delayed report may have replaced a running start, or be all
    // that is known of one.
    std::deque<other_start> m_others;
    // Starts that have ended, the most recent last.
    std::deque<server_start> m_retired;
    std::deque<deregistration> m_deregistrations;
};

}
