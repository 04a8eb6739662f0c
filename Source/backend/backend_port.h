#pragma once

#include "backend/backend_announcement.h"
#include "http/http_server.h"

#include <functional>
#include <string>

namespace vanillashunt {

// Called for the requests that a backend server sends to its node.
struct backend_port_hooks {
    std::function<void(const backend_announcement&)> announced;
    std::function<void()> withdrawn;
    std::function<void()> draining;
};

// HTTP port on which the node's own backend server announces itself, drains and withdraws.
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
