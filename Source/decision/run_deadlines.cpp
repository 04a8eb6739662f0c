#include "decision/run_deadlines.h"

#include <iterator>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    // How far the deadline of an onward call may be off the one sent to the server: it is rounded
    // to whole milliseconds on the wire twice, and the node and the server each take some time to
    // pass it on.
    constexpr milliseconds minEchoOffset { -2 };
    constexpr milliseconds maxEchoOffset { 9 };

    // Deadlines are kept this far apart, as long as none is shortened by more than the maximum.
    constexpr milliseconds spacing { 8 };
    constexpr milliseconds maxShortening { 40 };

}

run_deadlines::time_point run_deadlines::begin(std::uint64_t runId, time_point deadline)
{
    auto assigned = deadline;
    while (deadline - assigned < maxShortening) {
        auto next = m_runs.lower_bound(assigned - spacing);
        if (next == m_runs.end() || next->first >= assigned + spacing) {
            break;
        }
        assigned = next->first - spacing;
    }
    // Two runs with the same deadline would share one entry.
    while (m_runs.count(assigned) != 0) {
        assigned -= std::chrono::microseconds(1);
    }
    m_runs.emplace(assigned, runId);
    m_deadlines[runId] = assigned;
    return assigned;
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
    // The latest deadline that is not after the call's own, except for rounding.
    auto after = m_runs.upper_bound(deadline - minEchoOffset);
    if (after == m_runs.begin()) {
        return std::nullopt;
    }
    auto found = std::prev(after);
    if (deadline - found->first > maxEchoOffset) {
        return std::nullopt;
    }
    return found->second;
}

}
