#include "routing/server_pace.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // The slowdown changes many times per second, so an older report is out of date.
    constexpr std::chrono::milliseconds slowdownLifetime { 300 };
    // A server that reports its speed does so with each answer. After this time without a report it
    // is idle or has stopped reporting.
    constexpr std::chrono::seconds reportLifetime { 5 };
    // Reports are also ignored for this time after a contradiction.
    constexpr std::chrono::seconds distrustPeriod { 1 };

    // From this slowdown on, running a call at another server saves a third of its time, which is
    // tens of milliseconds, and costs one more hop between two nodes, which is about one
    // millisecond.
    constexpr double slowThreshold = 1.5;

    // Calls in transit to or from the server are in only one of the two counts, so small counts are
    // not compared, and the node's own count may exceed the reported one by this factor.
    constexpr std::uint32_t minRunningToCompare = 8;
    constexpr std::uint32_t maxRunningRatio = 2;

    // Weight of one run in the mean of its class, so that some tens of runs determine the mean.
    constexpr double runWeight = 1.0 / 16;
    constexpr std::uint32_t minRuns = 4;
    // Maximum number of classes; a platform has some tens of routes to a service.
    constexpr std::size_t maxClasses = 256;

}

void server_pace::reset()
{
    m_serviceTimes.clear();
    m_reportedAt.reset();
    m_contradictedAt.reset();
}

bool server_pace::contradicts(const server_load& load, std::uint32_t announcedSlots, std::uint32_t ownRunning) const
{
    if (announcedSlots != 0 && load.slots != announcedSlots) {
        return true;
    }
    return ownRunning >= minRunningToCompare && (load.running + load.waiting) * maxRunningRatio < ownRunning;
}

void server_pace::updateLoad(const server_load& load, std::uint32_t announcedSlots, std::uint32_t ownRunning, time_point now)
{
    if (contradicts(load, announcedSlots, ownRunning)) {
        ++m_contradictions;
        m_contradictedAt = now;
        m_reportedAt.reset();
        return;
    }
    bool isDistrusted = m_contradictedAt && now - *m_contradictedAt < distrustPeriod;
    if (isDistrusted || !load.slowdown) {
        return;
    }
    m_slowdown = *load.slowdown;
    m_reportedAt = now;
}

void server_pace::recordRun(const std::string& requestClass, std::chrono::microseconds duration)
{
    auto found = m_serviceTimes.find(requestClass);
    if (found == m_serviceTimes.end()) {
        if (m_serviceTimes.size() >= maxClasses) {
            return;
        }
        found = m_serviceTimes.emplace(requestClass, class_service_time {}).first;
    }
    auto& serviceTime = found->second;
    ++serviceTime.runs;
    auto weight = std::max(runWeight, 1.0 / serviceTime.runs);
    serviceTime.meanMicroseconds += weight * (static_cast<double>(duration.count()) - serviceTime.meanMicroseconds);
}

bool server_pace::isSpeedKnown(time_point now) const
{
    return m_reportedAt && now - *m_reportedAt < reportLifetime;
}

double server_pace::slowdown(time_point now) const
{
    return m_reportedAt && now - *m_reportedAt < slowdownLifetime ? m_slowdown : 1;
}

bool server_pace::isSlow(time_point now) const
{
    return slowdown(now) >= slowThreshold;
}

std::optional<std::chrono::microseconds> server_pace::meanServiceTime(const std::string& requestClass, time_point now) const
{
    auto found = m_serviceTimes.find(requestClass);
    if (!isSpeedKnown(now) || found == m_serviceTimes.end() || found->second.runs < minRuns) {
        return std::nullopt;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(found->second.meanMicroseconds));
}

}
