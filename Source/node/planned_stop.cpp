#include "node/planned_stop.h"

namespace vanillashunt {

namespace {

    // The time in which the news of a stop reaches every node that can be reached,
    // and in which callers learn it by the answers that they get.
    constexpr std::chrono::milliseconds spreadTime { 1500 };

}

planned_stop::planned_stop(std::chrono::milliseconds drainTimeout)
    : m_drainTimeout(drainTimeout)
{
}

void planned_stop::request(stop_reason reason, std::chrono::steady_clock::time_point now)
{
    if (reason == stop_reason::Signal && !exiting()) {
        m_exitRequested = now;
    }
    m_reasons.insert(reason);
}

void planned_stop::withdraw(stop_reason reason)
{
    // A process that was told to exit exits.
    if (reason != stop_reason::Signal) {
        m_reasons.erase(reason);
    }
}

bool planned_stop::mayClosePorts(std::chrono::steady_clock::time_point now) const
{
    return exiting() && now - m_exitRequested >= spreadTime;
}

bool planned_stop::mayExit(bool idle, std::chrono::steady_clock::time_point now) const
{
    if (!exiting()) {
        return false;
    }
    return (idle && mayClosePorts(now)) || now - m_exitRequested >= m_drainTimeout;
}

}
