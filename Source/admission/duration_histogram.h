#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace vanillashunt {

// A histogram of durations on a logarithmic scale, in which older ones fade, so
// that its quantiles follow a server that becomes slow or fast.
class duration_histogram {
public:
    void add(std::chrono::microseconds);

    // Lets what was added so far count for this fraction of its weight.
    void fade(double factor);

    // The upper end of the bucket in which the quantile lies; zero while too
    // little is known to say.
    std::chrono::microseconds quantile(double fraction) const;

private:
    // Four buckets for each doubling, from one microsecond to over an hour.
    static constexpr std::size_t bucketCount = 128;

    std::array<float, bucketCount> m_weights {};
};

}
