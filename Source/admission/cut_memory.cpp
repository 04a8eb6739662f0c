#include "admission/cut_memory.h"

#include <cmath>

namespace vanillashunt {

namespace {

    // A recorded cut counts in full for this long, and is then halved in each half-life.
    constexpr std::chrono::milliseconds fullWeightTime { 200 };
    constexpr std::chrono::duration<double> halfLife { 0.1 };
    constexpr std::chrono::milliseconds expiry { 2000 };

    // A decayed cut below this counts as 0.
    constexpr double minCut = 32;

    constexpr std::size_t maxEntries = 4096;

}

void cut_memory::record(const std::string& key, const remembered_cut& update, std::chrono::steady_clock::time_point now)
{
    if (m_entries.size() >= maxEntries && m_entries.count(key) == 0) {
        removeExpired(now);
        if (m_entries.size() >= maxEntries) {
            return;
        }
    }
    auto& entry = m_entries[key];
    entry.cut = update.cut;
    entry.retryAfter = update.retryAfter.count() > 0 ? update.retryAfter : entry.retryAfter;
    entry.recorded = now;
}

remembered_cut cut_memory::get(const std::string& key, std::chrono::steady_clock::time_point now) const
{
    auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return {};
    }
    const auto& entry = found->second;
    auto decaying = std::chrono::duration<double>(now - entry.recorded - fullWeightTime);
    auto cut = decaying.count() > 0 ? entry.cut * std::exp2(-decaying / halfLife) : entry.cut;
    if (cut < minCut) {
        return {};
    }
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.recorded);
    return { static_cast<shedding_position>(std::lround(cut)), entry.retryAfter, age };
}

void cut_memory::removeExpired(std::chrono::steady_clock::time_point now)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        bool keep = now < entry->second.recorded + expiry;
        entry = keep ? std::next(entry) : m_entries.erase(entry);
    }
}

}
