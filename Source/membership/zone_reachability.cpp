#include "membership/zone_reachability.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::size_t differentMembers = 3;
    constexpr std::uint32_t fewestFailures = 2;

}

void zone_reachability::answered(const std::string& zone, time_point)
{
    auto& state = m_zones[zone];
    m_changes += state.reachable ? 0 : 1;
    state = zone_state {};
}

void zone_reachability::unanswered(const std::string& zone, std::uint64_t memberId, std::size_t liveMembers, time_point now)
{
    auto& state = m_zones[zone];
    state.unanswered.insert(memberId);
    ++state.failures;
    if (!state.reachable || state.failures < fewestFailures || state.unanswered.size() < std::min(differentMembers, liveMembers)) {
        return;
    }
    state.reachable = false;
    state.unreachableSince = now;
    ++m_changes;
}

bool zone_reachability::reachable(const std::string& zone) const
{
    auto found = m_zones.find(zone);
    return found == m_zones.end() || found->second.reachable;
}

bool zone_reachability::doubtful(const std::string& zone) const
{
    auto found = m_zones.find(zone);
    return found != m_zones.end() && found->second.failures > 0 && found->second.reachable;
}

std::chrono::milliseconds zone_reachability::unreachableFor(const std::string& zone, time_point now) const
{
    if (reachable(zone)) {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_zones.at(zone).unreachableSince);
}

}
