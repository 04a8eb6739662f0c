#include "node/planned_stop.h"

namespace vanillashunt {

planned_stop::planned_stop(std::chrono::milliseconds drainTimeout, std::chrono::milliseconds propagationTime, std::chrono::milliseconds acceptTime)
    : m_drainTimeout(drainTimeout)
    , m_propagationTime(propagationTime)
    , m_acceptTime(acceptTime)
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
    // SIGTERM cannot be withdrawn.
    if (reason != stop_reason::Signal) {
        m_reasons.erase(reason);
    }
}

bool planned_stop::refusesWork(std::chrono::steady_clock::time_point now) const
{
    bool onlySignal = exiting() && m_reasons.size() == 1;
    return draining() && !(onlySignal && now - m_exitRequested < m_acceptTime);
}

bool planned_stop::mayClosePorts(std::chrono::steady_clock::time_point now) const
{
    return exiting() && now - m_exitRequested >= m_propagationTime;
}

bool planned_stop::mayExit(bool idle, std::chrono::steady_clock::time_point now) const
{
    if (!exiting()) {
        return false;
    }
    return (idle && mayClosePorts(now)) || now - m_exitRequested >= m_drainTimeout;
}

}
