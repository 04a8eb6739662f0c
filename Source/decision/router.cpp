#include "decision/router.h"

#include <algorithm>

namespace vanillashunt {

router::router(std::string ownZone, chance_hook chance)
    : m_ownZone(std::move(ownZone))
    , m_chance(std::move(chance))
    , m_members(std::make_shared<std::vector<member>>())
{
}

void router::setMembers(member_list members, std::chrono::steady_clock::time_point)
{
    m_members = std::move(members);
}

std::optional<member> router::choose(const route_request& request, std::chrono::steady_clock::time_point)
{
    const member* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto& candidate : *m_members) {
        if (candidate.service != request.service || candidate.state != member_state::Alive) {
            continue;
        }
        if (std::find(request.tried.begin(), request.tried.end(), candidate.id) != request.tried.end()) {
            continue;
        }
        constexpr std::uint64_t otherZone = 1ULL << 40;
        constexpr std::uint64_t tieBreak = 1024;
        auto score = m_outstanding[candidate.id] * tieBreak + m_chance(tieBreak);
        score += candidate.availabilityZone == m_ownZone ? 0 : otherZone;
        if (!best || score < bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return *best;
}

std::optional<member> router::find(std::uint64_t memberId) const
{
    for (const auto& candidate : *m_members) {
        if (candidate.id == memberId) {
            return candidate;
        }
    }
    return std::nullopt;
}

void router::started(std::uint64_t memberId, std::chrono::steady_clock::time_point)
{
    ++m_outstanding[memberId];
}

void router::finished(std::uint64_t memberId, const route_outcome&, std::chrono::steady_clock::time_point now)
{
    cancelled(memberId, now);
}

void router::cancelled(std::uint64_t memberId, std::chrono::steady_clock::time_point)
{
    auto found = m_outstanding.find(memberId);
    if (found != m_outstanding.end() && found->second > 0) {
        --found->second;
    }
}

}
