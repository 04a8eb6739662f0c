#include "quota/zone_node_counter.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Members are heard of soon after a start, and of all that start together one hears without
    // such a pause.
    constexpr std::chrono::milliseconds shortestStart { 400 };
    constexpr std::chrono::milliseconds quietTime { 250 };
    // A node that knows nobody may be the only one.
    constexpr std::chrono::milliseconds longestAlone { 3000 };

    // A cut heals, or whoever is behind it is replaced, within some such time; until then the
    // part of a node that fell silent is used by nobody.
    constexpr std::chrono::seconds silenceMemory { 20 };

}

zone_node_counter::zone_node_counter(std::string availabilityZone, time_point started)
    : m_zone(std::move(availabilityZone))
    , m_started(started)
    , m_lastGrown(started)
{
}

void zone_node_counter::setMembers(const member_list& members, time_point now)
{
    std::unordered_map<std::string, const member*> present;
    for (const auto& each : *members) {
        if (each.availabilityZone == m_zone) {
            present[each.name] = &each;
        }
    }
    for (const auto& [name, each] : present) {
        auto [known, isNew] = m_places.try_emplace(name);
        if (isNew) {
            m_lastGrown = now;
        }
        known->second = { each->state, std::nullopt };
    }
    for (auto known = m_places.begin(); known != m_places.end();) {
        auto& [name, entry] = *known;
        if (present.count(name) != 0) {
            ++known;
            continue;
        }
        if (!entry.vacant) {
            entry.vacant = now;
        }
        bool hasLeft = entry.state == member_state::Draining;
        bool isForgotten = hasLeft || now - *entry.vacant >= silenceMemory;
        known = isForgotten ? m_places.erase(known) : std::next(known);
    }
}

std::optional<std::size_t> zone_node_counter::count(time_point now) const
{
    if (now - m_started < shortestStart || now - m_lastGrown < quietTime) {
        return std::nullopt;
    }
    if (m_places.size() < 2 && now - m_started < longestAlone) {
        return std::nullopt;
    }
    auto isThere = [now](const auto& entry) { return !entry.second.vacant || now - *entry.second.vacant < silenceMemory; };
    auto there = std::count_if(m_places.begin(), m_places.end(), isThere);
    return std::max<std::size_t>(1, static_cast<std::size_t>(there));
}

}
