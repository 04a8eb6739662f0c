#pragma once

#include <chrono>

namespace vanillashunt {

// The first request of a connection, for which a server that stops waits: the client may have connected
// just before the stop, and be about to send it.
class first_request {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // How long after the connection was accepted a stopping server waits.
    static constexpr std::chrono::milliseconds maxWait { 1000 };

    explicit first_request(time_point accepted)
        : m_accepted(accepted)
    {
    }

    // Called when bytes of a request have arrived.
    void arrived() { m_hasArrived = true; }

    bool isAwaited(time_point now) const { return !m_hasArrived && now - m_accepted < maxWait; }

private:
    time_point m_accepted;
    bool m_hasArrived = false;
};

}
