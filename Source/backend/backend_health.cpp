#include "backend/backend_health.h"

namespace vanillashunt {

namespace {

    constexpr std::uint32_t unreachableThreshold = 2;
    constexpr std::uint32_t unhealthyThreshold = 5;

    // Error answers of the health endpoint are ignored for this long after an answered call.
    constexpr std::chrono::milliseconds answerValidity { 1000 };

}

void backend_health::probed(probe_result result, std::chrono::steady_clock::time_point now)
{
    m_consecutiveUnreachable = result == probe_result::Unreachable ? m_consecutiveUnreachable + 1 : 0;
    m_consecutiveUnhealthy = result == probe_result::Unhealthy ? m_consecutiveUnhealthy + 1 : 0;
    if (result == probe_result::Healthy) {
        m_isHealthy = true;
        return;
    }
    bool answersCalls = m_hasAnswered && now - m_lastAnswerTime < answerValidity;
    if (m_consecutiveUnreachable >= unreachableThreshold || (m_consecutiveUnhealthy >= unhealthyThreshold && !answersCalls)) {
        m_isHealthy = false;
    }
}

void backend_health::callAnswered(std::chrono::steady_clock::time_point now)
{
    m_hasAnswered = true;
    m_lastAnswerTime = now;
}

}
