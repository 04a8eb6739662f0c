#include "decision/sliding_window_counter.h"

#include <algorithm>

namespace vanillashunt {

std::int64_t sliding_window_counter::partAt(time_point time) const
{
    return static_cast<std::int64_t>(time.time_since_epoch() / (m_window / static_cast<int>(parts)));
}

void sliding_window_counter::add(time_point now)
{
    auto part = partAt(now);
    auto passed = std::min<std::int64_t>(part - m_newest, parts);
    for (std::int64_t back = 0; back < passed; ++back) {
        m_counts.at(static_cast<std::size_t>(part - back) % parts) = 0;
    }
    m_newest = part;
    ++m_counts.at(static_cast<std::size_t>(part) % parts);
}

std::uint32_t sliding_window_counter::sum(time_point now) const
{
    // Parts that have left the window since the latest event.
    auto over = std::min<std::int64_t>(partAt(now) - m_newest, parts);
    std::uint32_t result = 0;
    for (std::int64_t back = 0; back < static_cast<std::int64_t>(parts) - std::max<std::int64_t>(over, 0); ++back) {
        result += m_counts.at(static_cast<std::size_t>(m_newest - back) % parts);
    }
    return result;
}

}
