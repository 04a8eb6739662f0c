#include "membership/push_schedule.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Capacity of the token bucket, and tokens added each second.
    constexpr double pushBurst = 10;
    constexpr double pushesPerSecond = 4;

}

push_schedule::push_schedule(std::chrono::milliseconds secondPushDelay, time_point now)
    : m_secondPushDelay(secondPushDelay)
    , m_tokens(pushBurst)
    , m_lastRefill(now)
{
}

void push_schedule::updateQueued(time_point now)
{
    m_pending = true;
    m_secondPushTime = std::min(m_secondPushTime, now + m_secondPushDelay);
}

void push_schedule::refill()
{
    m_tokens = pushBurst;
}

bool push_schedule::takeDue(time_point now)
{
    if (!m_pending && now < m_secondPushTime) {
        return false;
    }
    m_secondPushTime = m_pending ? m_secondPushTime : time_point::max();
    return true;
}

bool push_schedule::takeToken(time_point now)
{
    auto seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_tokens = std::min(pushBurst, m_tokens + seconds * pushesPerSecond);
    m_lastRefill = now;
    m_pending = m_tokens < 1;
    if (!m_pending) {
        m_tokens -= 1;
    }
    return !m_pending;
}

}
