#include "quota/pool_owner_selector.h"

#include "decision/rendezvous.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t mostUnanswered = 2;
    constexpr std::chrono::milliseconds passOverTime { 2000 };
    // Nodes that are tried in turn: where so many do not answer, the fault is here.
    constexpr std::size_t mostPassedOver = 3;

}

pool_owner_selector::pool_owner_selector(std::uint64_t selfId)
    : m_selfId(selfId)
{
}

void pool_owner_selector::setMembers(const member_list& members)
{
    m_candidates.clear();
    m_byId.clear();
    for (const auto& each : *members) {
        if (each.state != member_state::Alive) {
            continue;
        }
        m_candidates[each.availabilityZone].push_back(each.id);
        m_byId[each.id] = each;
    }
    for (auto each = m_silent.begin(); each != m_silent.end();) {
        each = m_byId.count(each->first) == 0 ? m_silent.erase(each) : std::next(each);
    }
}

std::optional<member> pool_owner_selector::of(const std::string& availabilityZone, time_point now) const
{
    auto found = m_candidates.find(availabilityZone);
    if (found == m_candidates.end()) {
        return std::nullopt;
    }
    auto candidates = found->second;
    for (std::size_t passedOver = 0; passedOver < mostPassedOver; ++passedOver) {
        auto first = rendezvousFirst(candidates);
        if (!first || !isPassedOver(*first, now)) {
            return first ? std::optional(m_byId.at(*first)) : std::nullopt;
        }
        candidates.erase(std::find(candidates.begin(), candidates.end(), *first));
    }
    auto self = m_byId.find(m_selfId);
    bool isOwn = self != m_byId.end() && self->second.availabilityZone == availabilityZone;
    return isOwn ? std::optional(self->second) : std::nullopt;
}

std::vector<std::string> pool_owner_selector::zonesBeside(const std::string& availabilityZone) const
{
    std::vector<std::string> result;
    for (const auto& [zone, candidates] : m_candidates) {
        if (zone != availabilityZone) {
            result.push_back(zone);
        }
    }
    return result;
}

bool pool_owner_selector::isPassedOver(std::uint64_t memberId, time_point now) const
{
    auto found = m_silent.find(memberId);
    return found != m_silent.end() && now < found->second.passedOverUntil;
}

void pool_owner_selector::unanswered(std::uint64_t memberId, time_point now)
{
    auto& entry = m_silent[memberId];
    if (++entry.inARow >= mostUnanswered) {
        entry.inARow = 0;
        entry.passedOverUntil = now + passOverTime;
    }
}

void pool_owner_selector::answered(std::uint64_t memberId)
{
    m_silent.erase(memberId);
}

}
