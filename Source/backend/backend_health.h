#pragma once

#include <chrono>
#include <cstdint>

namespace vanillashunt {

// Result of one probe of a backend server's health endpoint.
enum class probe_result {
    Healthy,
    Unhealthy, // It answered with an error, or not in time.
    Unreachable, // The connection was refused or could not be opened.
};

// Decides from probes of its health endpoint whether a backend server is offered to other nodes.
// The endpoint may be slow to change or wrong. Therefore more error answers than refused connections
// are needed to make a server unhealthy, and error answers are ignored while calls succeed.
class backend_health {
public:
    void probed(probe_result, std::chrono::steady_clock::time_point now);

    // Records that a call was answered, which is stronger evidence than a probe.
    void callAnswered(std::chrono::steady_clock::time_point now);

    bool isHealthy() const { return m_isHealthy; }

private:
    bool m_isHealthy = true;
    std::uint32_t m_consecutiveUnhealthy = 0;
    std::uint32_t m_consecutiveUnreachable = 0;
    bool m_hasAnswered = false;
    std::chrono::steady_clock::time_point m_lastAnswerTime;
};

}
