#pragma once

#include "node/planned_stop.h"

#include <chrono>
#include <cstddef>
#include <functional>

namespace vanillashunt {

// The work that a stopping node still has in progress.
struct stop_progress {
    // Requests that entered the mesh at this node.
    std::size_t entered = 0;
    // Calls that arrived for the local backend server.
    std::size_t arrived = 0;
    // Client requests whose answer is not sent yet.
    std::size_t clients = 0;
    // Peer calls whose answer is not sent yet.
    std::size_t peers = 0;

    bool isIdle() const { return entered == 0 && arrived == 0 && clients == 0 && peers == 0; }
};

struct routed_stop_hooks {
    std::function<stop_progress()> progress;
    // Closes client connections after the answers in progress, so that clients connect elsewhere.
    std::function<void()> closeAfterAnswers;
    // Refuses new work for the local backend server.
    std::function<void()> refuseWork;
    // Refuses new requests from clients, which have had time to move to other nodes.
    std::function<void()> refuseClients;
    // Answers every request still in progress at the drain timeout.
    std::function<void(const stop_progress&)> endRequests;
    // Stops accepting client connections; called repeatedly, to close those that have become idle.
    std::function<void(std::chrono::steady_clock::time_point now)> stopAccepting;
    // Announces the departure to the other nodes and ends the process.
    std::function<void()> leave;
};

// Runs the planned stop of a routed node from SIGTERM to its exit. Takes each step once and logs
// once a second what the stop waits for.
class routed_stop {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The grace time is how long after SIGTERM the platform kills the process.
    routed_stop(std::chrono::milliseconds grace, routed_stop_hooks);

    // Starts the stop at SIGTERM; further calls have no effect.
    void begin(time_point now);

    // Takes the steps that are due; to be called with each tick.
    void step(time_point now);

    bool draining() const { return m_plannedStop.draining(); }
    bool refusesWork(time_point now) const { return m_plannedStop.refusesWork(now); }

private:
    void logProgress(const stop_progress&, time_point now);

    routed_stop_hooks m_hooks;
    planned_stop m_plannedStop;
    bool m_hasRefusedWork = false;
    bool m_hasRefusedClients = false;
    bool m_hasLeft = false;
    time_point m_nextLog;
};

}
