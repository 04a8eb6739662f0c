#pragma once

#include "backend/server_starts.h"
#include "events/event_limiter.h"
#include "http/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillashunt {

struct server_report_hooks {
    // Returns whether this node knows a service of that name.
    std::function<bool(const std::string& service)> knowsService;
    // Called when the state of the backend server may have changed.
    std::function<void()> changed;
    // Wall-clock time of this machine, on which the backend server runs, too.
    std::function<std::chrono::system_clock::time_point()> wallNow;
    // Incarnation of this process, as logged by the event nodeStarted.
    std::function<std::uint64_t()> incarnation;
    // Probes the server's health and passes the result to healthProbed(). If not set, reported
    // starts are used without verification.
    std::function<void(const server_report&)> probeHealth {};
};

// Handles the reports of the local backend server and logs the changes that they cause. A report
// that no server wrote changes nothing: it is refused with the reason and counted, and a limited
// number of refusals is logged.
class server_reports {
public:
    using time_point = std::chrono::steady_clock::time_point;

    server_reports(server_report_hooks, time_point processStarted);

    // Returns the answer to the report. A successful answer is a commitment: from then on a
    // server that leaves gets no new work.
    http_response handle(const http_request&, time_point now);

    // Called when the server at the address answers that it is not this start.
    void misdirected(const server_start&);

    // Called when this start of the server has terminated.
    void ended(const server_start&);

    // Called with the result of the health probe of this start.
    void healthProbed(const server_start&, server_health);

    // The latest report of the current server; std::nullopt while no server is known.
    const std::optional<server_report>& current() const { return m_starts.current(); }

    // Whether the server is known and verified, and has not reported that it leaves.
    bool takesWork() const { return m_starts.takesWork(); }

    // Whether the current server is held back until a health probe has shown that it serves.
    bool isUnverified() const { return current() && m_starts.isUnverified(current()->start); }

    // Number of reports refused since the process started.
    std::uint64_t refused() const { return m_refused; }

private:
    http_response refuse(const std::string& reason, time_point now);
    bool hasAcceptedService(const server_report&) const;
    void logReport(const server_report&, report_effect) const;
    std::optional<server_start> currentStart() const;
    void logCurrentStart(const std::optional<server_start>& last) const;

    server_report_hooks m_hooks;
    server_starts m_starts;
    event_limiter m_limiter;
    std::uint64_t m_refused = 0;
};

}
