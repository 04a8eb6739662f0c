#include "membership/relayed_pings.h"

namespace vanillashunt {

void relayed_pings::add(std::uint32_t ownSequence, const relayed_ping& ping)
{
    m_pings[ownSequence] = ping;
}

std::optional<relayed_ping> relayed_pings::takeAnswered(std::uint32_t ownSequence)
{
    auto node = m_pings.extract(ownSequence);
    return node ? std::optional(std::move(node.mapped())) : std::nullopt;
}

void relayed_pings::dropExpired(std::chrono::steady_clock::time_point now)
{
    for (auto it = m_pings.begin(); it != m_pings.end();) {
        it = it->second.deadline < now ? m_pings.erase(it) : std::next(it);
    }
}

}
