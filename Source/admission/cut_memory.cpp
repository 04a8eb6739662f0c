#include "admission/cut_memory.h"

#include <cmath>

namespace vanillashunt {

namespace {

    // News counts in full for this long, and for half as much after each half-life.
    constexpr std::chrono::milliseconds fresh { 200 };
    constexpr std::chrono::duration<double> halfLife { 0.1 };
    constexpr std::chrono::milliseconds forgotten { 2000 };

    // A faded cut below this is taken for none.
    constexpr double leastCut = 32;

    constexpr std::size_t kindBound = 4096;

}

void cut_memory::learn(const std::string& kind, const remembered_cut& news, std::chrono::steady_clock::time_point now)
{
    if (m_entries.size() >= kindBound && m_entries.count(kind) == 0) {
        forgetFaded(now);
        if (m_entries.size() >= kindBound) {
            return;
        }
    }
    auto& entry = m_entries[kind];
    entry.cut = news.cut;
    entry.retryAfter = news.retryAfter.count() > 0 ? news.retryAfter : entry.retryAfter;
    entry.learned = now;
}

remembered_cut cut_memory::get(const std::string& kind, std::chrono::steady_clock::time_point now) const
{
    auto found = m_entries.find(kind);
    if (found == m_entries.end()) {
        return {};
    }
    const auto& entry = found->second;
    auto stale = std::chrono::duration<double>(now - entry.learned - fresh);
    auto cut = stale.count() > 0 ? entry.cut * std::exp2(-stale / halfLife) : entry.cut;
    if (cut < leastCut) {
        return {};
    }
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.learned);
    return { static_cast<shedding_position>(std::lround(cut)), entry.retryAfter, age };
}

void cut_memory::forgetFaded(std::chrono::steady_clock::time_point now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        bool keep = now < entry->second.learned + forgotten;
        entry = keep ? std::next(entry) : m_entries.erase(entry);
    }
}

}
