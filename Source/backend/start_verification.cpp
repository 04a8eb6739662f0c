#include "backend/start_verification.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // A server starts at most about once a second.
    constexpr std::size_t maxPending = 64;

}

void start_verification::begin(const server_report& report, time_point now)
{
    m_pending.push_back({ report.start, report.sequence, now });
    if (m_pending.size() > maxPending) {
        m_pending.pop_front();
    }
}

bool start_verification::isProvenBy(const server_report& report, time_point now) const
{
    auto pending = find(report.start);
    return pending != m_pending.end() && report.sequence > pending->sequence && !mayPrecedeProcess(now);
}

void start_verification::end(const server_start& start)
{
    auto pending = find(start);
    if (pending != m_pending.end()) {
        m_pending.erase(pending);
    }
}

bool start_verification::takeProbe(const server_start& start, time_point now)
{
    auto pending = find(start);
    if (pending == m_pending.end() || now - pending->lastProbe < minProbePeriod) {
        return false;
    }
    pending->lastProbe = now;
    return true;
}

void start_verification::probed(const server_start& start, server_health health)
{
    auto pending = find(start);
    if (pending == m_pending.end()) {
        return;
    }
    if (health == server_health::NotServing) {
        pending->isRefuted = true;
    } else if (health == server_health::Serving || !pending->isRefuted) {
        m_pending.erase(pending);
    }
}

bool start_verification::isPending(const server_start& start) const
{
    return find(start) != m_pending.end();
}

std::deque<start_verification::unverified_start>::iterator start_verification::find(const server_start& start)
{
    return std::find_if(m_pending.begin(), m_pending.end(), [&start](const unverified_start& pending) { return pending.start == start; });
}

std::deque<start_verification::unverified_start>::const_iterator start_verification::find(const server_start& start) const
{
    return std::find_if(m_pending.begin(), m_pending.end(), [&start](const unverified_start& pending) { return pending.start == start; });
}

}
