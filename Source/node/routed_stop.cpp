#include "node/routed_stop.h"

#include "events/event_catalogue.h"

namespace vanillashunt {

namespace {

    // After SIGTERM the platform probes the readiness twice, a second apart, before it moves the
    // clients to other nodes.
    constexpr std::chrono::milliseconds clientDrainTime { 2600 };
    // How long a stopping node still accepts new work for its backend server. The node has to wait
    // for the clients anyway, and half of the runs finish within the last 300 ms. The backend
    // server stays up, and refusing its work earlier would reduce the capacity for longer while
    // other nodes may be stopping, too.
    constexpr std::chrono::milliseconds acceptWorkTime { clientDrainTime - std::chrono::milliseconds(300) };
    // Time reserved before the platform kills the process, to send the last answers and to announce
    // the departure.
    constexpr std::chrono::milliseconds killMargin { 600 };

    constexpr std::chrono::milliseconds logPeriod { 1000 };

}

routed_stop::routed_stop(std::chrono::milliseconds grace, routed_stop_hooks hooks)
    : m_hooks(std::move(hooks))
    , m_plannedStop(grace - killMargin, clientDrainTime, acceptWorkTime)
{
}

void routed_stop::begin(time_point now)
{
    if (m_plannedStop.exiting()) {
        return;
    }
    logEvent(events::drainStarted);
    m_plannedStop.request(stop_reason::Signal, now);
    m_hooks.closeAfterAnswers();
}

void routed_stop::step(time_point now)
{
    if (!m_plannedStop.exiting() || m_hasLeft) {
        return;
    }
    if (!m_hasRefusedWork && m_plannedStop.refusesWork(now)) {
        m_hasRefusedWork = true;
        m_hooks.refuseWork();
    }
    if (!m_hasRefusedClients && m_plannedStop.mayClosePorts(now)) {
        m_hasRefusedClients = true;
        m_hooks.refuseClients();
    }
    auto progress = m_hooks.progress();
    if (m_plannedStop.mayClosePorts(now) && progress.arrived == 0) {
        m_hooks.stopAccepting(now);
        progress = m_hooks.progress();
    }
    logProgress(progress, now);
    if (m_plannedStop.mayExit(progress.isIdle(), now)) {
        m_hasLeft = true;
        if (!progress.isIdle()) {
            m_hooks.endRequests(progress);
        }
        m_hooks.leave();
    }
}

// Logs periodically, so that the log of a process that is killed at the end of the grace time shows
// what was still in progress.
void routed_stop::logProgress(const stop_progress& progress, time_point now)
{
    if (now < m_nextLog) {
        return;
    }
    m_nextLog = now + logPeriod;
    logEvent(events::stopWaits, { { "entered", std::to_string(progress.entered) }, { "arrived", std::to_string(progress.arrived) }, { "clients", std::to_string(progress.clients) }, { "peers", std::to_string(progress.peers) } });
}

}
