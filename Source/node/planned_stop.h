#pragma once

#include <chrono>
#include <set>

namespace vanillashunt {

// Who requested the stop.
enum class stop_reason {
    Signal, // SIGTERM: the process exits when its work is done.
    Operator, // Announced by an operator, who may withdraw it.
    BackendServer, // The backend server is draining, and may announce itself again.
};

// Decides when the steps of a planned stop are due: accept work for as long as that does
// not prolong the stop, then refuse new work, keep the ports open until the callers know
// of the stop, and exit once nothing is in progress or the drain timeout has elapsed.
class planned_stop {
public:
    // The time in which every reachable node learns of the stop by gossip, and callers
    // learn of it from the answers that they get.
    static constexpr std::chrono::milliseconds defaultPropagationTime { 1500 };

    // acceptTime is how long after SIGTERM new work is still accepted.
    explicit planned_stop(std::chrono::milliseconds drainTimeout, std::chrono::milliseconds propagationTime = defaultPropagationTime, std::chrono::milliseconds acceptTime = {});

    void request(stop_reason, std::chrono::steady_clock::time_point now);
    void withdraw(stop_reason);

    // Whether a stop has been requested.
    bool draining() const { return !m_reasons.empty(); }

    // Whether new work is refused.
    bool refusesWork(std::chrono::steady_clock::time_point now) const;

    // Whether the process is to exit when the stop completes.
    bool exiting() const { return m_reasons.count(stop_reason::Signal) != 0; }

    // Whether callers have had time to switch to other nodes.
    bool mayClosePorts(std::chrono::steady_clock::time_point now) const;

    bool mayExit(bool idle, std::chrono::steady_clock::time_point now) const;

private:
    std::chrono::milliseconds m_drainTimeout;
    std::chrono::milliseconds m_propagationTime;
    std::chrono::milliseconds m_acceptTime;
    std::set<stop_reason> m_reasons;
    std::chrono::steady_clock::time_point m_exitRequested;
};

}
