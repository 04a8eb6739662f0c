#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace vanillashunt {

// Counts the events in a time window that ends now, in buckets of equal length.
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
    static constexpr std::size_t bucketCount = 20;

    // Index of the bucket that contains the time, counted from the clock's epoch.
    std::int64_t bucketAt(time_point) const;

    std::chrono::milliseconds m_window;
    std::array<std::uint32_t, bucketCount> m_counts {};
    // The bucket of the latest event.
    std::int64_t m_newestBucket = 0;
};

}
