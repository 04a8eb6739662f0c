#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace vanillashunt {

// The most of the times, which are sorted, that lie in any window of that length.
template <typename TimePoint, typename Duration>
std::size_t mostInWindow(const std::vector<TimePoint>& times, Duration window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

}
