#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace vanillashunt {

// The highest number of these times, which are sorted, in any span of this length.
inline std::size_t mostWithin(std::chrono::steady_clock::duration span, const std::vector<std::chrono::steady_clock::time_point>& times)
{
    std::size_t most = 0;
    auto first = times.begin();
    for (auto last = times.begin(); last != times.end(); ++last) {
        first = std::lower_bound(first, last, *last - span);
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

}
