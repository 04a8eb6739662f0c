#include "events/event_limiter.h"

#include <utility>

namespace vanillashunt {

event_limiter::event_limiter(std::uint32_t most, std::chrono::milliseconds interval)
    : m_most(most)
    , m_interval(interval)
{
}

std::optional<std::uint64_t> event_limiter::take(const event& what, std::chrono::steady_clock::time_point now)
{
    auto [found, isNew] = m_byNumber.try_emplace(what.number);
    auto& seen = found->second;
    if (isNew || now - seen.intervalStarted >= m_interval) {
        seen.intervalStarted = now;
        seen.written = 0;
    }
    if (seen.written >= m_most) {
        ++seen.leftOut;
        return std::nullopt;
    }
    ++seen.written;
    return std::exchange(seen.leftOut, 0);
}

}
