#include "membership/push_schedule.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Pushes that may follow each other at once, and how many more a second.
    constexpr double pushBurst = 10;
    constexpr double pushesPerSecond = 4;

}

push_schedule::push_schedule(std::chrono::milliseconds secondPush, time_point now)
    : m_secondPush(secondPush)
    , m_allowance(pushBurst)
    , m_refilled(now)
{
}

void push_schedule::newsCame(time_point now)
{
    m_soon = true;
    m_second = std::min(m_second, now + m_secondPush);
}

void push_schedule::refill()
{
    m_allowance = pushBurst;
}

bool push_schedule::takeDue(time_point now)
{
    if (!m_soon && now < m_second) {
        return false;
    }
    m_second = m_soon ? m_second : time_point::max();
    return true;
}

bool push_schedule::take(time_point now)
{
    auto seconds = std::chrono::duration<double>(now - m_refilled).count();
    m_allowance = std::min(pushBurst, m_allowance + seconds * pushesPerSecond);
    m_refilled = now;
    m_soon = m_allowance < 1;
    if (!m_soon) {
        m_allowance -= 1;
    }
    return !m_soon;
}

}
