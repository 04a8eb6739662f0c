#include "membership/probe_schedule.h"

#include <algorithm>

namespace vanillashunt {

probe_schedule::probe_schedule(random_hook random)
    : m_random(std::move(random))
{
}

std::optional<std::uint64_t> probe_schedule::next(const std::vector<std::uint64_t>& candidates)
{
    if (m_order.empty()) {
        m_order = pickRandom(candidates, candidates.size(), 0, m_random);
    }
    while (!m_order.empty()) {
        auto chosen = m_order.back();
        m_order.pop_back();
        if (std::find(candidates.begin(), candidates.end(), chosen) != candidates.end()) {
            return chosen;
        }
    }
    return std::nullopt;
}

void probe_schedule::probeAgain(std::uint64_t memberId)
{
    auto position = m_order.empty() ? m_order.end() : m_order.end() - 1;
    m_order.insert(position, memberId);
}

std::vector<std::uint64_t> pickRandom(std::vector<std::uint64_t> candidates, std::size_t count, std::uint64_t excluded, const random_hook& random)
{
    candidates.erase(std::remove(candidates.begin(), candidates.end(), excluded), candidates.end());
    count = std::min(count, candidates.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(candidates[i], candidates[i + random(candidates.size() - i)]);
    }
    candidates.resize(count);
    return candidates;
}

}
