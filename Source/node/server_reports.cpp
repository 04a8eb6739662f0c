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

server_reports::server_reports(server_report_hooks hooks)
    : m_hooks(std::move(hooks))
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
    bool wasKnown = current().has_value();
    auto effect = m_tracker.report(report, m_hooks.wallNow());
    logReport(report, effect);
    if (effect == report_effect::Unclear) {
        return refuse("the report lacks the start time of its server, which other reports of that server have", now);
    }
    bool isFirst = effect == report_effect::Replaced && !wasKnown && m_hooks.probeHealth;
    bool isFirstOrUpdate = isFirst || effect == report_effect::Updated;
    if (isFirstOrUpdate && m_verification.reported(report, isFirst)) {
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
    if (effect == report_effect::Replaced) {
        logEvent(events::backendServerAnnounced, { { "service", report.service }, { "address", report.address }, { "instance", report.start.instanceId }, { "born", born } });
    }
    if (effect == report_effect::Leaving || effect == report_effect::LeavingUnknown) {
        bool isKnown = effect == report_effect::Leaving;
        logEvent(events::backendServerLeaves, { { "instance", report.start.instanceId }, { "born", born }, { "state", toString(report.condition) }, { "known", isKnown ? "yes" : "no" }, { "incarnation", incarnation } });
    }
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
    m_tracker.misdirected(start);
    m_hooks.changed();
}

void server_reports::ended(const server_start& start)
{
    m_tracker.ended(start);
    m_hooks.changed();
}

void server_reports::healthProbed(const server_start& start, server_health health)
{
    if (health == server_health::NotServing && m_verification.isPending(start)) {
        logEvent(events::backendServerNotServing, { { "instance", start.instanceId }, { "born", bornText(start) } });
    }
    m_verification.probed(start, health);
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
