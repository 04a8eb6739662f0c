#include "node/planned_stop.h"

namespace vanillashunt {

planned_stop::planned_stop(std::chrono::milliseconds drainTimeout, std::chrono::milliseconds spreadTime, std::chrono::milliseconds workTime)
    : m_drainTimeout(drainTimeout)
    , m_spreadTime(spreadTime)
    , m_workTime(workTime)
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

bool planned_stop::refusesWork(std::chrono::steady_clock::time_point now) const
{
    bool onlySignal = exiting() && m_reasons.size() == 1;
    return draining() && !(onlySignal && now - m_exitRequested < m_workTime);
}

bool planned_stop::mayClosePorts(std::chrono::steady_clock::time_point now) const
{
    return exiting() && now - m_exitRequested >= m_spreadTime;
}

bool planned_stop::mayExit(bool idle, std::chrono::steady_clock::time_point now) const
{
    if (!exiting()) {
        return false;
    }
    return (idle && mayClosePorts(now)) || now - m_exitRequested >= m_drainTimeout;
}

}
