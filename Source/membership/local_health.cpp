#include "membership/local_health.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t worstScore = 3;

}

void local_health::worsen()
{
    m_score = std::min(m_score + 1, worstScore);
}

void local_health::improve()
{
    m_score -= m_score > 0 ? 1 : 0;
}

std::chrono::milliseconds local_health::scale(std::chrono::milliseconds time) const
{
    return time * (1 + m_score);
}

void local_health::recordPause(time_point now)
{
    worsen();
    ++m_pauses;
    m_trusted = false;
    m_pausedAt = now;
}

void local_health::recordAnswer(time_point sentAt, time_point)
{
    m_lastAnsweredSentAt = std::max(m_lastAnsweredSentAt, sentAt);
    if (sentAt >= m_pausedAt) {
        m_trusted = true;
    }
}

bool local_health::probeAnsweredSince(time_point start) const
{
    return m_lastAnsweredSentAt >= start;
}

}
