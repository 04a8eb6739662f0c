#include "routing/server_pace.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // The figure changes many times a second: what is older says nothing of now.
    constexpr std::chrono::milliseconds figureLifetime { 300 };
    // A server that tells its speed does so with each answer; one that answers nothing for so
    // long is idle, or has stopped telling.
    constexpr std::chrono::seconds knownLifetime { 5 };
    // After a contradiction the next figures are not believed either.
    constexpr std::chrono::seconds distrustTime { 1 };

    // A run elsewhere then saves a third of its time, tens of milliseconds, for one more way
    // between two nodes of about one.
    constexpr double slowFrom = 1.5;

    // Calls on their way to the server, or back, are in one count and not in the other.
    constexpr std::uint32_t leastRunningToCompare = 8;
    constexpr std::uint32_t runningPartTold = 2;

    // Weight of one run among those of its class: some tens tell what is usual.
    constexpr double runWeight = 1.0 / 16;
    constexpr std::uint32_t leastRuns = 4;
    // Classes that are told apart; a platform has some tens of routes to a service.
    constexpr std::size_t mostClasses = 256;

}

void server_pace::reset()
{
    m_times.clear();
    m_told.reset();
    m_contradicted.reset();
}

bool server_pace::contradicts(const server_load& load, std::uint32_t announcedSlots, std::uint32_t ownRunning) const
{
    if (announcedSlots != 0 && load.slots != announcedSlots) {
        return true;
    }
    return ownRunning >= leastRunningToCompare && (load.running + load.waiting) * runningPartTold < ownRunning;
}

void server_pace::updateLoad(const server_load& load, std::uint32_t announcedSlots, std::uint32_t ownRunning, time_point now)
{
    if (contradicts(load, announcedSlots, ownRunning)) {
        ++m_contradictions;
        m_contradicted = now;
        m_told.reset();
        return;
    }
    bool isDistrusted = m_contradicted && now - *m_contradicted < distrustTime;
    if (isDistrusted || !load.slowdown) {
        return;
    }
    m_slowdown = *load.slowdown;
    m_told = now;
}

void server_pace::recordRun(const std::string& requestClass, std::chrono::microseconds duration)
{
    auto found = m_times.find(requestClass);
    if (found == m_times.end()) {
        if (m_times.size() >= mostClasses) {
            return;
        }
        found = m_times.emplace(requestClass, class_time {}).first;
    }
    auto& known = found->second;
    ++known.runs;
    auto weight = std::max(runWeight, 1.0 / known.runs);
    known.microseconds += weight * (static_cast<double>(duration.count()) - known.microseconds);
}

bool server_pace::isKnown(time_point now) const
{
    return m_told && now - *m_told < knownLifetime;
}

double server_pace::slowdown(time_point now) const
{
    return m_told && now - *m_told < figureLifetime ? m_slowdown : 1;
}

bool server_pace::isSlow(time_point now) const
{
    return slowdown(now) >= slowFrom;
}

std::optional<std::chrono::microseconds> server_pace::meanServiceTime(const std::string& requestClass, time_point now) const
{
    auto found = m_times.find(requestClass);
    if (!isKnown(now) || found == m_times.end() || found->second.runs < leastRuns) {
        return std::nullopt;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(found->second.microseconds));
}

}
