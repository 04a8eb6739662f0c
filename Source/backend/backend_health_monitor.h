#pragma once

#include "backend/backend_announcement.h"
#include "backend/backend_client.h"
#include "backend/backend_health.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace vanillashunt {

// Probes the own backend server's health endpoint while one is announced.
class backend_health_monitor {
public:
    // The hook is told each change of whether the backend server is to be offered.
    using offered_hook = std::function<void(bool offered)>;

    backend_health_monitor(boost::asio::io_context&, backend_client&, offered_hook);

    // A new announcement starts afresh; nothing ends the probes.
    void setBackend(const std::optional<backend_announcement>&);
    void callAnswered();

    bool isHealthy() const { return m_health.offered(); }

private:
    void schedule();
    void probe();
    void probed(const http_result&);

    backend_client& m_client;
    offered_hook m_offeredChanged;
    boost::asio::steady_timer m_timer;
    std::optional<backend_announcement> m_backend;
    backend_health m_health;
};

}
