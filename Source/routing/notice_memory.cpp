#include "routing/notice_memory.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // More than the nodes of a large mesh.
    constexpr std::size_t maxEntries = 8192;

}

// Numbers of one process are compared; the clocks of a process and its successor are the only
// common measure between them.
bool notice_memory::isLater(const entry& candidate, const entry& known)
{
    if (candidate.told.observer == known.told.observer) {
        return candidate.told.version > known.told.version;
    }
    return candidate.observed > known.observed;
}

void notice_memory::learn(const std::string& node, const relayed_notice& told, time_point now)
{
    entry candidate { told, now - told.age };
    auto found = m_entries.find(node);
    if (found == m_entries.end()) {
        if (m_entries.size() >= maxEntries) {
            auto earlier = [](const auto& a, const auto& b) { return a.second.observed < b.second.observed; };
            m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), earlier));
        }
        m_entries.emplace(node, candidate);
        return;
    }
    auto& known = found->second;
    bool sameStart = known.told.start == told.start;
    bool leaves = sameStart && (known.told.notice.isLeaving || told.notice.isLeaving);
    if (isLater(candidate, known)) {
        known = candidate;
    }
    if (sameStart) {
        known.told.notice.isLeaving = leaves;
    }
}

std::optional<relayed_notice> notice_memory::find(const std::string& node, time_point now) const
{
    auto found = m_entries.find(node);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    auto told = found->second.told;
    told.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second.observed);
    return told;
}

}
