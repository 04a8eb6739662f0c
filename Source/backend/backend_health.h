#pragma once

#include <chrono>
#include <cstdint>

namespace vanillashunt {

// What one probe of a backend server's health endpoint told.
enum class probe_result {
    Well,
    Unwell, // It answered with an error, or not in time.
    Unreachable, // No connection: nothing listens there.
};

// Whether a backend server is to be offered to other nodes, by its health
// endpoint. The endpoint lags and misleads, so that one bad answer says little
// and a refused connection much; calls that succeed outweigh what it says.
class backend_health {
public:
    void probed(probe_result, std::chrono::steady_clock::time_point now);

    // A call ran and was answered, which shows more than a probe.
    void callAnswered(std::chrono::steady_clock::time_point now);

    bool isHealthy() const { return m_offered; }

private:
    bool m_offered = true;
    std::uint32_t m_unwellInRow = 0;
    std::uint32_t m_unreachableInRow = 0;
    bool m_everAnswered = false;
    std::chrono::steady_clock::time_point m_lastAnswer;
};

}
