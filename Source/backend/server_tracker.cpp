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
    if (wasReplaced(news.instanceId)) {
        return report_effect::Nothing;
    }
    bool isCurrent = m_current && m_current->instanceId == news.instanceId;
    if (news.condition == server_condition::Left) {
        if (!isCurrent) {
            // It may have been announced to a process that is gone.
            retire(news.instanceId);
            return report_effect::Nothing;
        }
        m_current->condition = server_condition::Left;
        return report_effect::Leaving;
    }
    if (!isCurrent) {
        if (m_current) {
            retire(m_current->instanceId);
        }
        m_previous = std::exchange(m_current, news);
        return news.condition == server_condition::Draining ? report_effect::Leaving : report_effect::Replaced;
    }
    if (news.sequence <= m_current->sequence) {
        return report_effect::Nothing;
    }
    // A server that has said that it leaves does not come back under the same name.
    auto condition = std::max(m_current->condition, news.condition);
    bool leaves = condition != m_current->condition;
    m_current = news;
    m_current->condition = condition;
    return leaves ? report_effect::Leaving : report_effect::Updated;
}

void server_tracker::misdirected(const std::string& instanceId)
{
    if (!m_current || m_current->instanceId != instanceId) {
        return;
    }
    retire(instanceId);
    m_current = std::exchange(m_previous, std::nullopt);
    if (m_current) {
        auto again = std::remove(m_retired.begin(), m_retired.end(), m_current->instanceId);
        m_retired.erase(again, m_retired.end());
    }
}

bool server_tracker::takesWork() const
{
    return m_current && m_current->condition == server_condition::Ready;
}

bool server_tracker::wasReplaced(const std::string& instanceId) const
{
    return std::find(m_retired.begin(), m_retired.end(), instanceId) != m_retired.end();
}

void server_tracker::retire(const std::string& instanceId)
{
    m_retired.push_back(instanceId);
    if (m_retired.size() > mostRetired) {
        m_retired.pop_front();
    }
}

}
