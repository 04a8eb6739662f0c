#include "membership/suspicion_timers.h"

namespace vanillashunt {

void suspicion_timers::start(std::uint64_t memberId, std::chrono::milliseconds timeout, time_point now)
{
    m_suspicions.try_emplace(memberId, suspicion { memberId, now, now + timeout });
}

void suspicion_timers::stop(std::uint64_t memberId)
{
    m_suspicions.erase(memberId);
}

void suspicion_timers::restart(std::chrono::milliseconds timeout, time_point now)
{
    for (auto& [memberId, entry] : m_suspicions) {
        entry.since = now;
        entry.deadline = now + timeout;
    }
}

std::vector<suspicion_timers::suspicion> suspicion_timers::expired(time_point now) const
{
    std::vector<suspicion> found;
    for (const auto& [memberId, entry] : m_suspicions) {
        if (entry.deadline <= now) {
            found.push_back(entry);
        }
    }
    return found;
}

}
