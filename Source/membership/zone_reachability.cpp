#include "membership/zone_reachability.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Different members that have to fail to answer before a zone counts as unreachable;
    // in a zone with fewer live members, all of them.
    constexpr std::size_t minSilentMembers = 3;
    // Failures that are needed in any case, also if the zone has a single live member.
    constexpr std::uint32_t minFailures = 2;

}

void zone_reachability::recordAnswer(const std::string& zone, time_point)
{
    auto& state = m_zones[zone];
    m_changes += state.reachable ? 0 : 1;
    state = zone_state {};
}

void zone_reachability::recordFailure(const std::string& zone, std::uint64_t memberId, std::size_t liveMembers, time_point now)
{
    auto& state = m_zones[zone];
    state.silentMembers.insert(memberId);
    ++state.failures;
    if (!state.reachable || state.failures < minFailures || state.silentMembers.size() < std::min(minSilentMembers, liveMembers)) {
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
