#pragma once

#include "backend/server_tracker.h"
#include "backend/start_verification.h"
#include "events/event_limiter.h"
#include "http/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillashunt {

struct server_report_hooks {
    // Whether a service of that name exists, as far as is known here.
    std::function<bool(const std::string& service)> knowsService;
    // What is known of the server may have changed.
    std::function<void()> changed;
    // Wall-clock time of this machine, on which the backend server runs, too.
    std::function<std::chrono::system_clock::time_point()> wallNow;
    // Incarnation of this process, as logged by the event nodeStarted.
    std::function<std::uint64_t()> incarnation;
    // Probes the server's health and passes the result to healthProbed(). If not set, reported
    // starts are used without verification.
    std::function<void(const server_report&)> probeHealth {};
};

// Takes what the server beside the node says of itself, and logs what that changes.
// Whatever was not written by a server changes nothing: it is refused with the reason,
// counted, and logged no more than now and then.
class server_reports {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit server_reports(server_report_hooks);

    // Returns the answer to the report. One of success binds: from here on nothing new
    // goes to a server that leaves.
    http_response take(const http_request&, time_point now);

    // The server at the address is another one than this.
    void misdirected(const server_start&);

    // That start of the server has ended.
    void ended(const server_start&);

    // The health probe of that start of the server has ended.
    void healthProbed(const server_start&, server_health);

    // Nothing while no server is known.
    const std::optional<server_report>& current() const { return m_tracker.current(); }

    // Whether the server is known and verified, and has not said that it leaves.
    bool takesWork() const { return m_tracker.takesWork() && !m_verification.isPending(current()->start); }

    // Reports that were not a server's, since the process started.
    std::uint64_t refused() const { return m_refused; }

private:
    http_response refuse(const std::string& why, time_point now);
    bool namesAService(const server_report&) const;
    void logReport(const server_report&, report_effect) const;

    server_report_hooks m_hooks;
    server_tracker m_tracker;
    start_verification m_verification;
    event_limiter m_limiter;
    std::uint64_t m_refused = 0;
};

}
