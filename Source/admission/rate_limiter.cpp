#include "admission/rate_limiter.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // The bucket holds the calls of this time, at least one.
    constexpr std::chrono::duration<double> burstTime { 0.5 };

    // A server with a lower limit, even zero, gets a call at this rate: only its answers tell
    // that the limit has changed.
    constexpr double minRate = 0.2;

}

void rate_limiter::setRate(std::optional<double> callsPerSecond, time_point now)
{
    if (!callsPerSecond) {
        m_rate.reset();
        m_tokens = 0;
        return;
    }
    refill(now);
    m_rate = std::max(*callsPerSecond, minRate);
    m_tokens = std::min(m_tokens, capacity());
}

double rate_limiter::capacity() const
{
    return std::max(1.0, *m_rate * burstTime.count());
}

void rate_limiter::refill(time_point now)
{
    auto elapsed = std::chrono::duration<double>(now - m_refilled);
    m_refilled = now;
    if (m_rate && elapsed.count() > 0) {
        m_tokens = std::min(m_tokens + *m_rate * elapsed.count(), capacity());
    }
}

void rate_limiter::take()
{
    m_tokens = m_rate ? m_tokens - 1 : 0;
}

double rate_limiter::cap(double callsPerSecond) const
{
    return m_rate ? std::min(*m_rate, callsPerSecond) : callsPerSecond;
}

std::chrono::duration<double> rate_limiter::timeUntil(std::size_t calls) const
{
    if (!m_rate) {
        return std::chrono::duration<double>(0);
    }
    return std::chrono::duration<double>(std::max(0.0, (static_cast<double>(calls) - m_tokens) / *m_rate));
}

}
