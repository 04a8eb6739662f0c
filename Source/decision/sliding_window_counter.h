#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace vanillashunt {

// Counts events in the window that ends now, in equal parts of it.
class sliding_window_counter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit sliding_window_counter(std::chrono::milliseconds window)
        : m_window(window)
    {
    }

    void add(time_point now);

    std::uint32_t sum(time_point now) const;

private:
    static constexpr std::size_t parts = 20;

    // Number of the part since the clock began.
    std::int64_t partAt(time_point) const;

    std::chrono::milliseconds m_window;
    std::array<std::uint32_t, parts> m_counts {};
    // The part of the latest event.
    std::int64_t m_newest = 0;
};

}
