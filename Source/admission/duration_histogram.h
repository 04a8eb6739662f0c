#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace vanillashunt {

// A histogram of durations on a logarithmic scale. Older durations decay, so that the
// quantiles follow a server that becomes slower or faster.
class duration_histogram {
public:
    void add(std::chrono::microseconds);

    // Multiplies the weight of everything added so far by the factor.
    void decay(double factor);

    // The upper end of the bucket that contains the quantile; zero if too few durations
    // were added.
    std::chrono::microseconds quantile(double fraction) const;

private:
    // Four buckets per doubling, from one microsecond to over an hour.
    static constexpr std::size_t bucketCount = 128;

    std::array<float, bucketCount> m_weights {};
};

}
