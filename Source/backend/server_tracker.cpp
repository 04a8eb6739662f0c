#include "backend/server_tracker.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // Starts of the server that are remembered as over; reports are late by seconds,
    // and a server does not start more often than about once a second.
    constexpr std::size_t mostRetired = 64;

}

report_effect server_tracker::report(const server_report& news)
{
    if (news.condition == server_condition::Left) {
        return leave(news);
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
report_effect server_tracker::leave(const server_report& news)
{
    bool sameServer = m_current && m_current->start.instanceId == news.start.instanceId;
    bool isLate = sameServer && news.start.born && isLaterStart(m_current->start, news.start);
    if (!sameServer || isLate) {
        // It may have been announced to a process that is gone.
        retire(news.start);
        return report_effect::Nothing;
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
    return std::any_of(m_retired.begin(), m_retired.end(), [&start](const server_start& over) { return over == start || isLaterStart(over, start); });
}

void server_tracker::retire(const server_start& start)
{
    m_retired.push_back(start);
    if (m_retired.size() > mostRetired) {
        m_retired.pop_front();
    }
}

}
