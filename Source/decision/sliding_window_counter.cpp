#include "decision/sliding_window_counter.h"

#include <algorithm>

namespace vanillashunt {

std::int64_t sliding_window_counter::bucketAt(time_point time) const
{
    return static_cast<std::int64_t>(time.time_since_epoch() / (m_window / static_cast<int>(bucketCount)));
}

void sliding_window_counter::add(time_point now)
{
    auto bucket = bucketAt(now);
    auto elapsed = std::min<std::int64_t>(bucket - m_newestBucket, bucketCount);
    for (std::int64_t offset = 0; offset < elapsed; ++offset) {
        m_counts.at(static_cast<std::size_t>(bucket - offset) % bucketCount) = 0;
    }
    m_newestBucket = bucket;
    ++m_counts.at(static_cast<std::size_t>(bucket) % bucketCount);
}

std::uint32_t sliding_window_counter::sum(time_point now) const
{
    // Number of buckets that have left the window since the latest event.
    auto expired = std::min<std::int64_t>(bucketAt(now) - m_newestBucket, bucketCount);
    std::uint32_t result = 0;
    for (std::int64_t offset = 0; offset < static_cast<std::int64_t>(bucketCount) - std::max<std::int64_t>(expired, 0); ++offset) {
        result += m_counts.at(static_cast<std::size_t>(m_newestBucket - offset) % bucketCount);
    }
    return result;
}

}
