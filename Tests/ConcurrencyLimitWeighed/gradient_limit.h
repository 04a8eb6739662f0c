#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace vanillashunt {

// An alternative for comparison, the published "gradient2" limit: it follows the ratio of
// the long-term to the short-term mean duration, with a tolerance, and adds the square
// root of the limit as headroom.
class gradient_limit {
public:
    explicit gradient_limit(std::uint32_t slots)
        : m_slots(slots)
        , m_limit(slots)
    {
    }

    void finished(std::chrono::microseconds duration, bool refused, std::uint32_t inFlight, std::chrono::steady_clock::time_point now)
    {
        if (refused) {
            m_refused = true;
            return;
        }
        ++m_calls;
        m_total += duration;
        m_maxInFlight = std::max(m_maxInFlight, inFlight);
        if (now < m_windowEnd) {
            return;
        }
        closeWindow();
        m_windowEnd = now + std::chrono::milliseconds(100);
    }

    std::uint32_t get() const { return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(m_limit)); }

private:
    void closeWindow()
    {
        constexpr double tolerance = 1.5;
        constexpr double smoothing = 0.2;
        constexpr double longWeight = 1.0 / 300;
        auto mean = static_cast<double>(m_total.count()) / m_calls;
        m_long = m_long == 0 ? mean : m_long + longWeight * (mean - m_long);
        if (m_long > 2 * mean) {
            m_long *= 0.95;
        }
        bool busy = m_maxInFlight >= m_limit / 2;
        if (m_refused) {
            m_limit = std::max(1.0, m_limit * 0.8);
        } else if (busy) {
            auto gradient = std::clamp(tolerance * m_long / mean, 0.5, 1.0);
            auto wanted = m_limit * gradient + std::sqrt(m_limit);
            m_limit = std::clamp(m_limit * (1 - smoothing) + smoothing * wanted, 1.0, m_slots);
        }
        m_calls = 0;
        m_maxInFlight = 0;
        m_total = std::chrono::microseconds(0);
        m_refused = false;
    }

    double m_slots;
    double m_limit;
    double m_long = 0;
    bool m_refused = false;
    std::uint32_t m_calls = 0;
    std::uint32_t m_maxInFlight = 0;
    std::chrono::microseconds m_total { 0 };
    std::chrono::steady_clock::time_point m_windowEnd;
};

}
