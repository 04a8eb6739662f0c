#include "decision/run_deadlines.h"

#include <iterator>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // A deadline goes over the wire in whole milliseconds, twice, and comes back
    // later by the time that node and server take to hand it on.
    constexpr milliseconds earliestEcho { -2 };
    constexpr milliseconds latestEcho { 9 };

    // Runs are kept apart by this where it costs none of them more than the most.
    constexpr milliseconds spacing { 8 };
    constexpr milliseconds mostShortening { 40 };

}

run_deadlines::time_point run_deadlines::begin(std::uint64_t runId, time_point deadline)
{
    auto told = deadline;
    while (deadline - told < mostShortening) {
        auto next = m_runs.lower_bound(told - spacing);
        if (next == m_runs.end() || next->first >= told + spacing) {
            break;
        }
        told = next->first - spacing;
    }
    // Two runs at the very same time would be one entry.
    while (m_runs.count(told) != 0) {
        told -= std::chrono::microseconds(1);
    }
    m_runs.emplace(told, runId);
    m_deadlines[runId] = told;
    return told;
}

void run_deadlines::end(std::uint64_t runId)
{
    auto node = m_deadlines.extract(runId);
    if (node) {
        m_runs.erase(node.mapped());
    }
}

std::optional<std::uint64_t> run_deadlines::find(time_point deadline) const
{
    // The latest that is not after the call's own, but for rounding.
    auto after = m_runs.upper_bound(deadline - earliestEcho);
    if (after == m_runs.begin()) {
        return std::nullopt;
    }
    auto found = std::prev(after);
    if (deadline - found->first > latestEcho) {
        return std::nullopt;
    }
    return found->second;
}

}
