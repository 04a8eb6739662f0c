#pragma once

#include "backend/backend_announcement.h"
#include "http/http_server.h"

#include <functional>
#include <string>

namespace vanillashunt {

// What a backend server can tell its node.
struct backend_port_hooks {
    std::function<void(const backend_announcement&)> announced;
    std::function<void()> withdrawn;
    std::function<void()> draining;
};

// The HTTP port where the own backend server announces itself, drains and withdraws.
class backend_port {
public:
    backend_port(boost::asio::io_context&, const std::string& listenAddress, backend_port_hooks);

    std::string address() const;

private:
    void handle(const http_request&, http_exchange&);

    backend_port_hooks m_hooks;
    http_server m_server;
};

}
