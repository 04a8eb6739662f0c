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

void relayed_pings::forget(std::chrono::steady_clock::time_point now)
{
    for (auto at = m_pings.begin(); at != m_pings.end();) {
        at = at->second.until < now ? m_pings.erase(at) : std::next(at);
    }
}

}
