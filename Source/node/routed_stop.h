#pragma once

#include "node/planned_stop.h"

#include <chrono>
#include <cstddef>
#include <functional>

namespace vanillashunt {

// What a stopping node has left to do.
struct stop_progress {
    // Requests that entered here, and calls to the server beside the node.
    std::size_t entered = 0;
    std::size_t arrived = 0;
    // Requests of clients and calls of peers whose answer is not sent yet.
    std::size_t clients = 0;
    std::size_t peers = 0;

    bool isIdle() const { return entered == 0 && arrived == 0 && clients == 0 && peers == 0; }
};

struct routed_stop_hooks {
    std::function<stop_progress()> progress;
    // Clients are to go elsewhere after their last answers.
    std::function<void()> sendClientsAway;
    // From here on the server beside the node gets nothing new.
    std::function<void()> refuseWork;
    // Refuses new requests from clients, which have had time to move to other nodes.
    std::function<void()> refuseClients;
    // Answers every request still in progress at the drain timeout.
    std::function<void(const stop_progress&)> endRequests;
    // Clients have left, and none is to come.
    std::function<void()> stopAccepting;
    // The node tells the others that it leaves, and exits.
    std::function<void()> leave;
};

// Takes a routed node from SIGTERM to its exit: each step is taken once, and a line a second
// tells what the stop waits for.
class routed_stop {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The grace time is how long after SIGTERM the platform kills the process.
    routed_stop(std::chrono::milliseconds grace, routed_stop_hooks);

    // SIGTERM came; a second one changes nothing.
    void begin(time_point now);

    // To be called with each tick.
    void step(time_point now);

    bool draining() const { return m_steps.draining(); }
    bool refusesWork(time_point now) const { return m_steps.refusesWork(now); }

private:
    void logProgress(const stop_progress&, time_point now);

    routed_stop_hooks m_hooks;
    planned_stop m_steps;
    bool m_hasRefusedWork = false;
    bool m_hasRefusedClients = false;
    bool m_hasLeft = false;
    time_point m_nextLine;
};

}
