#pragma once

#include "backend/backend_announcement.h"
#include "backend/backend_client.h"
#include "backend/backend_health.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace vanillashunt {

// Probes the health endpoint of the node's own backend server while one is announced.
class backend_health_monitor {
public:
    // Called when the backend server becomes healthy or unhealthy.
    using health_change_handler = std::function<void(bool healthy)>;

    backend_health_monitor(boost::asio::io_context&, backend_client&, health_change_handler);

    // A changed address or health path resets the state. Without an announcement the probes stop.
    void setBackend(const std::optional<backend_announcement>&);
    void callAnswered();

    bool isHealthy() const { return m_health.isHealthy(); }

private:
    void schedule();
    void probe();
    void probed(const http_result&);

    backend_client& m_client;
    health_change_handler m_healthChanged;
    boost::asio::steady_timer m_timer;
    std::optional<backend_announcement> m_backend;
    backend_health m_health;
};

}
