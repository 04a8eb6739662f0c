#include "admission/recent_minimum.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // A duration counts for one to two windows.
    constexpr std::chrono::milliseconds window { 500 };

}

void recent_minimum::add(std::chrono::microseconds duration, std::chrono::steady_clock::time_point now)
{
    if (now >= m_windowEnd) {
        m_previous = now < m_windowEnd + window ? m_current : std::nullopt;
        m_current.reset();
        m_windowEnd = now + window;
    }
    m_current = m_current ? std::min(*m_current, duration) : duration;
}

std::optional<std::chrono::microseconds> recent_minimum::get(std::chrono::steady_clock::time_point now) const
{
    if (now >= m_windowEnd + window) {
        return std::nullopt;
    }
    if (m_current && m_previous) {
        return std::min(*m_current, *m_previous);
    }
    return m_current;
}

}
