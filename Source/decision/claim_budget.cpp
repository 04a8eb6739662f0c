#include "decision/claim_budget.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Claims per second for the whole fleet; about half of the writes that the store sustains.
    constexpr double fleetRate = 150;

    // Claims that one node may make at once.
    constexpr double burst = 20;

}

bool claim_budget::take(std::size_t liveNodes, std::chrono::steady_clock::time_point now)
{
    if (!m_filled) {
        m_filled = true;
        m_refilled = now;
        m_tokens = burst;
    }
    auto rate = fleetRate / static_cast<double>(std::max<std::size_t>(liveNodes, 1));
    auto elapsed = std::chrono::duration<double>(now - m_refilled).count();
    m_tokens = std::min(burst, m_tokens + elapsed * rate);
    m_refilled = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

}
