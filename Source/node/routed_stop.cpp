#include "node/routed_stop.h"

#include "events/event_catalogue.h"

namespace vanillashunt {

namespace {

    // After SIGTERM the platform asks twice, a second apart, before it takes the
    // clients away.
    constexpr std::chrono::milliseconds clientsLeaveTime { 2600 };
    // So long a stopping node still gives its server new work: until the clients have
    // left it waits anyway, and half of the runs end within the last 300 ms. The server
    // beside it goes on, and others may be stopped at the same time.
    constexpr std::chrono::milliseconds stopWorkTime { clientsLeaveTime - std::chrono::milliseconds(300) };
    // Before the platform kills the process: the last answers and the farewell.
    constexpr std::chrono::milliseconds killMargin { 600 };

    constexpr std::chrono::milliseconds linePeriod { 1000 };

}

routed_stop::routed_stop(std::chrono::milliseconds grace, routed_stop_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_steps(grace - killMargin, clientsLeaveTime, stopWorkTime)
{
}

void routed_stop::begin(time_point now)
{
    if (m_steps.exiting()) {
        return;
    }
    logEvent(events::drainStarted);
    m_steps.request(stop_reason::Signal, now);
    m_hooks.sendClientsAway();
}

void routed_stop::step(time_point now)
{
    if (!m_steps.exiting() || m_hasLeft) {
        return;
    }
    if (!m_hasRefusedWork && m_steps.refusesWork(now)) {
        m_hasRefusedWork = true;
        m_hooks.refuseWork();
    }
    if (!m_hasRefusedClients && m_steps.mayClosePorts(now)) {
        m_hasRefusedClients = true;
        m_hooks.refuseClients();
    }
    auto progress = m_hooks.progress();
    if (m_steps.mayClosePorts(now) && progress.arrived == 0) {
        m_hooks.stopAccepting();
    }
    logProgress(progress, now);
    if (m_steps.mayExit(progress.isIdle(), now)) {
        m_hasLeft = true;
        if (!progress.isIdle()) {
            m_hooks.endRequests(progress);
        }
        m_hooks.leave();
    }
}

// Who is killed at the end of the grace time has told by then what it had left.
void routed_stop::logProgress(const stop_progress& progress, time_point now)
{
    if (now < m_nextLine) {
        return;
    }
    m_nextLine = now + linePeriod;
    logEvent(events::stopWaits, { { "entered", std::to_string(progress.entered) }, { "arrived", std::to_string(progress.arrived) }, { "clients", std::to_string(progress.clients) }, { "peers", std::to_string(progress.peers) } });
}

}
