#include "backend/server_tracker.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // Maximum number of ended starts that are kept. Reports are delayed by seconds, and a server
    // starts at most about once a second.
    constexpr std::size_t maxRetired = 64;

    // Reports are delayed by seconds. A deregistration that is further from the current time, in
    // either direction, is dropped, so that setting the clock back does not block new starts.
    constexpr std::chrono::seconds deregistrationRetention { 60 };

}

std::string toString(report_effect effect)
{
    switch (effect) {
    case report_effect::Nothing:
        return "nothing";
    case report_effect::Updated:
        return "updated";
    case report_effect::Replaced:
        return "replaced";
    case report_effect::Leaving:
        return "leaving";
    case report_effect::Unclear:
        return "unclear";
    case report_effect::LeavingUnknown:
        return "leaving_unknown";
    }
    return "";
}

report_effect server_tracker::report(const server_report& newReport, std::optional<wall_time> received)
{
    dropExpiredDeregistrations(received);
    if (newReport.condition == server_condition::Left) {
        return leave(newReport, received);
    }
    if (lacksExpectedBorn(newReport.start)) {
        return report_effect::Unclear;
    }
    if (hasEnded(newReport.start)) {
        return report_effect::Nothing;
    }
    if (!m_current || m_current->start != newReport.start) {
        return replace(newReport);
    }
    if (newReport.sequence <= m_current->sequence) {
        return report_effect::Nothing;
    }
    // A start that is draining or has deregistered does not become ready again.
    auto condition = std::max(m_current->condition, newReport.condition);
    bool isLeaving = condition != m_current->condition;
    m_current = newReport;
    m_current->condition = condition;
    m_ended = false;
    return isLeaving ? report_effect::Leaving : report_effect::Updated;
}

report_effect server_tracker::replace(const server_report& newReport)
{
    if (m_current) {
        retire(m_current->start);
    }
    m_previous = std::exchange(m_current, newReport);
    m_ended = false;
    return newReport.condition == server_condition::Draining ? report_effect::Leaving : report_effect::Replaced;
}

// A deregistration without a start time may be from the running server: sending it no more requests
// is safe, while continuing to send is not.
report_effect server_tracker::leave(const server_report& newReport, std::optional<wall_time> received)
{
    bool sameServer = m_current && m_current->start.instanceId == newReport.start.instanceId;
    bool isFromEarlierStart = sameServer && newReport.start.born && isLaterStart(m_current->start, newReport.start);
    if (isFromEarlierStart) {
        retire(newReport.start);
        return report_effect::Nothing;
    }
    // The deregistered start may be later than any reported one.
    bool mayBeUnreportedStart = !sameServer || received;
    if (!newReport.start.born && mayBeUnreportedStart) {
        recordDeregistration({ newReport.start.instanceId, received });
    }
    if (!sameServer) {
        // The server may have registered with an earlier process of this node.
        retire(newReport.start);
        return report_effect::LeavingUnknown;
    }
    if (newReport.start.born && m_current->start != newReport.start) {
        m_current->start = newReport.start;
        m_current->sequence = newReport.sequence;
    }
    m_current->condition = server_condition::Left;
    return report_effect::Leaving;
}

void server_tracker::misdirected(const server_start& start)
{
    if (!m_current || m_current->start != start) {
        return;
    }
    retire(start);
    m_current = std::exchange(m_previous, std::nullopt);
    if (m_current) {
        auto newEnd = std::remove(m_retired.begin(), m_retired.end(), m_current->start);
        m_retired.erase(newEnd, m_retired.end());
    }
    if (m_current && hasEnded(m_current->start)) {
        m_current.reset();
    }
}

void server_tracker::ended(const server_start& start)
{
    m_ended = m_ended || (m_current && m_current->start == start);
}

bool server_tracker::takesWork() const
{
    return m_current && !m_ended && m_current->condition == server_condition::Ready;
}

bool server_tracker::lacksExpectedBorn(const server_start& start) const
{
    if (start.born) {
        return false;
    }
    auto hasBorn = [&start](const server_start& known) { return known.instanceId == start.instanceId && known.born; };
    return (m_current && hasBorn(m_current->start)) || std::any_of(m_retired.begin(), m_retired.end(), hasBorn);
}

// A start has ended once a later start of the same server is known.
bool server_tracker::hasEnded(const server_start& start) const
{
    if (m_current && isLaterStart(m_current->start, start)) {
        return true;
    }
    bool isRetired = std::any_of(m_retired.begin(), m_retired.end(), [&start](const server_start& retired) { return retired == start || isLaterStart(retired, start); });
    return isRetired || isDeregistered(start);
}

// A start born before the deregistration arrived is the deregistered one or an earlier one.
bool server_tracker::isDeregistered(const server_start& start) const
{
    return std::any_of(m_deregistrations.begin(), m_deregistrations.end(), [&start](const deregistration& entry) {
        bool startedBefore = !start.born || !entry.received || *start.born <= *entry.received;
        return entry.instanceId == start.instanceId && startedBefore;
    });
}

void server_tracker::recordDeregistration(deregistration entry)
{
    m_deregistrations.push_back(std::move(entry));
    if (m_deregistrations.size() > maxRetired) {
        m_deregistrations.pop_front();
    }
}

void server_tracker::dropExpiredDeregistrations(std::optional<wall_time> now)
{
    auto isExpired = [now](const deregistration& entry) { return now && entry.received && std::chrono::abs(*now - *entry.received) > deregistrationRetention; };
    m_deregistrations.erase(std::remove_if(m_deregistrations.begin(), m_deregistrations.end(), isExpired), m_deregistrations.end());
}

void server_tracker::retire(const server_start& start)
{
    m_retired.push_back(start);
    if (m_retired.size() > maxRetired) {
        m_retired.pop_front();
    }
}

}
