#include "backend/server_tracker.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // Starts of the server that are remembered as over; reports are late by seconds,
    // and a server does not start more often than about once a second.
    constexpr std::size_t mostRetired = 64;

    // Reports are late by seconds. A deregistration that is further from the current time, in
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

report_effect server_tracker::report(const server_report& news, std::optional<wall_time> received)
{
    dropExpiredDeregistrations(received);
    if (news.condition == server_condition::Left) {
        return leave(news, received);
    }
    if (lacksBorn(news.start)) {
        return report_effect::Unclear;
    }
    if (isOver(news.start)) {
        return report_effect::Nothing;
    }
    if (!m_current || m_current->start != news.start) {
        return replace(news);
    }
    if (news.sequence <= m_current->sequence) {
        return report_effect::Nothing;
    }
    // A server that has said that it leaves does not come back by the same start.
    auto condition = std::max(m_current->condition, news.condition);
    bool leaves = condition != m_current->condition;
    m_current = news;
    m_current->condition = condition;
    m_ended = false;
    return leaves ? report_effect::Leaving : report_effect::Updated;
}

report_effect server_tracker::replace(const server_report& news)
{
    if (m_current) {
        retire(m_current->start);
    }
    m_previous = std::exchange(m_current, news);
    m_ended = false;
    return news.condition == server_condition::Draining ? report_effect::Leaving : report_effect::Replaced;
}

// A server that leaves without saying which start it is may be the one that is there:
// to send it nothing is safe, and to go on sending is not.
report_effect server_tracker::leave(const server_report& news, std::optional<wall_time> received)
{
    bool sameServer = m_current && m_current->start.instanceId == news.start.instanceId;
    bool isLate = sameServer && news.start.born && isLaterStart(m_current->start, news.start);
    if (isLate) {
        retire(news.start);
        return report_effect::Nothing;
    }
    // The deregistered start may be later than any reported one.
    bool mayBeUnreportedStart = !sameServer || received;
    if (!news.start.born && mayBeUnreportedStart) {
        recordDeregistration({ news.start.instanceId, received });
    }
    if (!sameServer) {
        // The server may have registered with an earlier process of this node.
        retire(news.start);
        return report_effect::LeavingUnknown;
    }
    if (news.start.born && m_current->start != news.start) {
        m_current->start = news.start;
        m_current->sequence = news.sequence;
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
        auto again = std::remove(m_retired.begin(), m_retired.end(), m_current->start);
        m_retired.erase(again, m_retired.end());
    }
    if (m_current && isOver(m_current->start)) {
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

bool server_tracker::lacksBorn(const server_start& start) const
{
    if (start.born) {
        return false;
    }
    auto tellsBorn = [&start](const server_start& known) { return known.instanceId == start.instanceId && known.born; };
    return (m_current && tellsBorn(m_current->start)) || std::any_of(m_retired.begin(), m_retired.end(), tellsBorn);
}

// With a start, those of the same server before it are over.
bool server_tracker::isOver(const server_start& start) const
{
    if (m_current && isLaterStart(m_current->start, start)) {
        return true;
    }
    bool isRetired = std::any_of(m_retired.begin(), m_retired.end(), [&start](const server_start& over) { return over == start || isLaterStart(over, start); });
    return isRetired || isDeregistered(start);
}

// A start born before the deregistration arrived is the deregistered one or an earlier one.
bool server_tracker::isDeregistered(const server_start& start) const
{
    return std::any_of(m_deregistrations.begin(), m_deregistrations.end(), [&start](const deregistration& each) {
        bool startedBefore = !start.born || !each.received || *start.born <= *each.received;
        return each.instanceId == start.instanceId && startedBefore;
    });
}

void server_tracker::recordDeregistration(deregistration entry)
{
    m_deregistrations.push_back(std::move(entry));
    if (m_deregistrations.size() > mostRetired) {
        m_deregistrations.pop_front();
    }
}

void server_tracker::dropExpiredDeregistrations(std::optional<wall_time> now)
{
    auto isExpired = [now](const deregistration& each) { return now && each.received && std::chrono::abs(*now - *each.received) > deregistrationRetention; };
    m_deregistrations.erase(std::remove_if(m_deregistrations.begin(), m_deregistrations.end(), isExpired), m_deregistrations.end());
}

void server_tracker::retire(const server_start& start)
{
    m_retired.push_back(start);
    if (m_retired.size() > mostRetired) {
        m_retired.pop_front();
    }
}

}
