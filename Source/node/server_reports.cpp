#include "node/server_reports.h"

#include "events/event_catalogue.h"
#include "platform/server_report.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

    // A line every few seconds is enough for an operator to find the sender of such reports.
    constexpr std::uint32_t maxLinesPerInterval = 2;
    constexpr std::chrono::seconds lineInterval { 10 };

}

server_reports::server_reports(server_report_hooks hooks, time_point processStarted)
    : m_hooks(std::move(hooks))
    , m_starts(static_cast<bool>(m_hooks.probeHealth), processStarted)
    , m_limiter(maxLinesPerInterval, lineInterval)
{
}

http_response server_reports::handle(const http_request& request, time_point now)
{
    auto parsed = parseServerReport(request);
    if (const auto* problem = std::get_if<server_report_problem>(&parsed)) {
        return refuse(problem->message, now);
    }
    const auto& report = std::get<server_report>(parsed);
    if (!hasAcceptedService(report)) {
        return refuse("there is no service named " + report.service, now);
    }
    auto last = currentStart();
    auto [effect, needsProbe] = m_starts.report(report, m_hooks.wallNow(), now);
    logReport(report, effect);
    if (effect == report_effect::Unclear) {
        return refuse("the report lacks the start time of its server, which other reports of that server have", now);
    }
    logCurrentStart(last);
    if (needsProbe) {
        m_hooks.probeHealth(report);
    }
    m_hooks.changed();
    return { statusOk, { { "Content-Type", "application/json" } }, "{}" };
}

// The incarnation and `known` show which process acknowledged a report and whether it
// knew the server.
void server_reports::logReport(const server_report& report, report_effect effect) const
{
    auto born = bornText(report.start);
    auto incarnation = std::to_string(m_hooks.incarnation());
    logEvent(events::serverReportTaken, { { "instance", report.start.instanceId }, { "born", born }, { "state", toString(report.condition) }, { "sequence", std::to_string(report.sequence) }, { "effect", toString(effect) }, { "incarnation", incarnation } });
    if (effect == report_effect::Leaving || effect == report_effect::LeavingUnknown) {
        bool isKnown = effect == report_effect::Leaving;
        logEvent(events::backendServerLeaves, { { "instance", report.start.instanceId }, { "born", born }, { "state", toString(report.condition) }, { "known", isKnown ? "yes" : "no" }, { "incarnation", incarnation } });
    }
}

std::optional<server_start> server_reports::currentStart() const
{
    return current() ? std::optional<server_start>(current()->start) : std::nullopt;
}

// Logs the start that receives requests from now on, if it is another one than the last.
void server_reports::logCurrentStart(const std::optional<server_start>& last) const
{
    auto start = currentStart();
    if (!start || start == last || current()->condition != server_condition::Ready) {
        return;
    }
    logEvent(events::backendServerAnnounced, { { "service", current()->service }, { "address", current()->address }, { "instance", start->instanceId }, { "born", bornText(*start) } });
}

// A deregistration names no service. The current server's service is accepted even if the routes no
// longer contain it.
bool server_reports::hasAcceptedService(const server_report& report) const
{
    bool isCurrentService = current() && current()->service == report.service;
    return report.condition == server_condition::Left || isCurrentService || m_hooks.knowsService(report.service);
}

void server_reports::misdirected(const server_start& start)
{
    auto last = currentStart();
    m_starts.misdirected(start);
    logCurrentStart(last);
    m_hooks.changed();
}

void server_reports::ended(const server_start& start)
{
    auto last = currentStart();
    m_starts.ended(start);
    logCurrentStart(last);
    m_hooks.changed();
}

void server_reports::healthProbed(const server_start& start, server_health health)
{
    if (health == server_health::NotServing && m_starts.isUnverified(start)) {
        logEvent(events::backendServerNotServing, { { "instance", start.instanceId }, { "born", bornText(start) } });
    }
    auto last = currentStart();
    m_starts.probed(start, health);
    logCurrentStart(last);
    m_hooks.changed();
}

http_response server_reports::refuse(const std::string& reason, time_point now)
{
    ++m_refused;
    if (auto suppressed = m_limiter.take(events::serverReportRefused, now)) {
        logEvent(events::serverReportRefused, { { "reason", reason }, { "left_out", std::to_string(*suppressed) } });
    }
    return { statusBadRequest, { { "Content-Type", "text/plain" } }, reason + "\n" };
}

}
