#pragma once

#include <chrono>
#include <optional>

namespace vanillashunt {

// The shortest duration of the last one to two windows. It expires when no durations are
// added, so that a server that was slow is tried again.
class recent_minimum {
public:
    void add(std::chrono::microseconds, std::chrono::steady_clock::time_point now);

    // Nothing if no recent duration is known.
    std::optional<std::chrono::microseconds> get(std::chrono::steady_clock::time_point now) const;

private:
    std::optional<std::chrono::microseconds> m_current;
    std::optional<std::chrono::microseconds> m_previous;
    std::chrono::steady_clock::time_point m_windowEnd;
};

}
