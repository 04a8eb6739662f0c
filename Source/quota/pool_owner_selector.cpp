#include "quota/pool_owner_selector.h"

#include "decision/rendezvous.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t maxUnanswered = 2;
    constexpr std::chrono::milliseconds skipTime { 2000 };
    // If this many nodes in turn do not answer, the fault is assumed to be on this node.
    constexpr std::size_t maxSkipped = 3;

}

pool_owner_selector::pool_owner_selector(std::uint64_t selfId)
    : m_selfId(selfId)
{
}

void pool_owner_selector::setMembers(const member_list& members)
{
    m_candidates.clear();
    m_byId.clear();
    for (const auto& candidate : *members) {
        if (candidate.state != member_state::Alive) {
            continue;
        }
        m_candidates[candidate.availabilityZone].push_back(candidate.id);
        m_byId[candidate.id] = candidate;
    }
    for (auto position = m_unanswered.begin(); position != m_unanswered.end();) {
        position = m_byId.count(position->first) == 0 ? m_unanswered.erase(position) : std::next(position);
    }
}

std::optional<member> pool_owner_selector::ownerOf(const std::string& availabilityZone, time_point now) const
{
    auto found = m_candidates.find(availabilityZone);
    if (found == m_candidates.end()) {
        return std::nullopt;
    }
    auto candidates = found->second;
    for (std::size_t skipped = 0; skipped < maxSkipped; ++skipped) {
        auto first = rendezvousFirst(candidates);
        if (!first || !isSkipped(*first, now)) {
            return first ? std::optional(m_byId.at(*first)) : std::nullopt;
        }
        candidates.erase(std::find(candidates.begin(), candidates.end(), *first));
    }
    auto self = m_byId.find(m_selfId);
    bool isOwn = self != m_byId.end() && self->second.availabilityZone == availabilityZone;
    return isOwn ? std::optional(self->second) : std::nullopt;
}

std::vector<std::string> pool_owner_selector::otherZones(const std::string& availabilityZone) const
{
    std::vector<std::string> result;
    for (const auto& [zone, candidates] : m_candidates) {
        if (zone != availabilityZone) {
            result.push_back(zone);
        }
    }
    return result;
}

bool pool_owner_selector::isSkipped(std::uint64_t memberId, time_point now) const
{
    auto found = m_unanswered.find(memberId);
    return found != m_unanswered.end() && now < found->second.skippedUntil;
}

void pool_owner_selector::unanswered(std::uint64_t memberId, time_point now)
{
    auto& entry = m_unanswered[memberId];
    if (++entry.consecutive >= maxUnanswered) {
        entry.consecutive = 0;
        entry.skippedUntil = now + skipTime;
    }
}

void pool_owner_selector::answered(std::uint64_t memberId)
{
    m_unanswered.erase(memberId);
}

}
