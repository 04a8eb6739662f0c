#pragma once

#include <chrono>
#include <set>

namespace vanillashunt {

// Who asked that no new work comes.
enum class stop_reason {
    Signal, // SIGTERM: the process exits when its work is done.
    Operator, // Announced by an operator, and may be taken back.
    BackendServer, // The backend server drains, and may announce itself again.
};

// Decides the steps of a planned stop: go on working where that makes the stop no
// longer, then refuse new work, keep the ports open until the news has reached those
// who call, end when nothing is in progress, and at the latest after the drain timeout.
class planned_stop {
public:
    // The time in which the news of a stop reaches every node that can be reached,
    // and in which callers learn it by the answers that they get.
    static constexpr std::chrono::milliseconds usualSpreadTime { 1500 };

    // The work time is how long after SIGTERM new work is still taken.
    explicit planned_stop(std::chrono::milliseconds drainTimeout, std::chrono::milliseconds spreadTime = usualSpreadTime, std::chrono::milliseconds workTime = {});

    void request(stop_reason, std::chrono::steady_clock::time_point now);
    void withdraw(stop_reason);

    // Whether a stop has been asked for.
    bool draining() const { return !m_reasons.empty(); }

    // Whether new work is refused.
    bool refusesWork(std::chrono::steady_clock::time_point now) const;

    // Whether the process is to exit.
    bool exiting() const { return m_reasons.count(stop_reason::Signal) != 0; }

    // Whether callers have had the time to go elsewhere.
    bool mayClosePorts(std::chrono::steady_clock::time_point now) const;

    bool mayExit(bool idle, std::chrono::steady_clock::time_point now) const;

private:
    std::chrono::milliseconds m_drainTimeout;
    std::chrono::milliseconds m_spreadTime;
    std::chrono::milliseconds m_workTime;
    std::set<stop_reason> m_reasons;
    std::chrono::steady_clock::time_point m_exitRequested;
};

}
