#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace vanillashunt {

// A token bucket: limits how many calls start per second, with short bursts. It is empty when a
// limit is set for the first time, since an earlier process may just have used up a burst. Without
// a limit every call may start.
class rate_limiter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Calls per second; nothing for no limit. A change keeps the tokens that the new limit allows.
    void setRate(std::optional<double> callsPerSecond, time_point now);

    // Adds the tokens that have accrued.
    void refill(time_point now);

    // Whether a call may start, as of the last refill.
    bool hasToken() const { return !m_rate || m_tokens >= 1; }

    void take();

    bool isLimited() const { return m_rate.has_value(); }

    // Calls per second; the argument if there is no limit or it is lower.
    double cap(double callsPerSecond) const;

    // Time from the last refill until this many calls may have started.
    std::chrono::duration<double> timeUntil(std::size_t calls) const;

private:
    double capacity() const;

    std::optional<double> m_rate;
    double m_tokens = 0;
    time_point m_refilled;
};

}
