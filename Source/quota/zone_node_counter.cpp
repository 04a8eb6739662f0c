#include "quota/zone_node_counter.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // A node learns of the other members soon after its start. While nodes start together, new ones
    // appear without a pause of this length.
    constexpr std::chrono::milliseconds minStartTime { 400 };
    constexpr std::chrono::milliseconds quietTime { 250 };
    // A node that knows no other node for this long may be the only one.
    constexpr std::chrono::milliseconds maxAloneTime { 3000 };

    // Within about this time, a network partition ends or the nodes behind it are replaced. Until
    // then, the share of a node that fell silent is not used.
    constexpr std::chrono::seconds silenceTimeout { 20 };

}

zone_node_counter::zone_node_counter(std::string availabilityZone, time_point started)
    : m_zone(std::move(availabilityZone))
    , m_started(started)
    , m_lastJoined(started)
{
}

void zone_node_counter::setMembers(const member_list& members, time_point now)
{
    std::unordered_map<std::string, const member*> present;
    for (const auto& candidate : *members) {
        if (candidate.availabilityZone == m_zone) {
            present[candidate.name] = &candidate;
        }
    }
    for (const auto& [name, candidate] : present) {
        auto [known, isNew] = m_nodes.try_emplace(name);
        if (isNew) {
            m_lastJoined = now;
        }
        known->second = { candidate->state, std::nullopt };
    }
    for (auto known = m_nodes.begin(); known != m_nodes.end();) {
        auto& [name, entry] = *known;
        if (present.count(name) != 0) {
            ++known;
            continue;
        }
        if (!entry.absentSince) {
            entry.absentSince = now;
        }
        bool hasLeft = entry.state == member_state::Draining;
        bool isExpired = hasLeft || now - *entry.absentSince >= silenceTimeout;
        known = isExpired ? m_nodes.erase(known) : std::next(known);
    }
}

std::optional<std::size_t> zone_node_counter::count(time_point now) const
{
    if (now - m_started < minStartTime || now - m_lastJoined < quietTime) {
        return std::nullopt;
    }
    if (m_nodes.size() < 2 && now - m_started < maxAloneTime) {
        return std::nullopt;
    }
    auto mayRun = [now](const auto& entry) { return !entry.second.absentSince || now - *entry.second.absentSince < silenceTimeout; };
    auto running = std::count_if(m_nodes.begin(), m_nodes.end(), mayRun);
    return std::max<std::size_t>(1, static_cast<std::size_t>(running));
}

}
