#pragma once

#include "StandIn/http_caller.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vanillashunt {

// Announces a backend server to its node for as long as it serves.
class announcement {
public:
    // An empty node address announces nothing.
    announcement(boost::asio::io_context&, std::shared_ptr<http_caller>, const std::string& node, const Json::Value& body);

    // Announces until it is told to drain or withdraw.
    void start();

    // Calls back when the node has answered, or cannot be reached.
    void drain(std::function<void()> done);
    void withdraw(std::function<void()> done);

private:
    void announce();
    void send(const std::string& method, const std::string& path, const std::string& body, std::function<void(bool succeeded)>);

    boost::asio::io_context& m_io;
    std::shared_ptr<http_caller> m_caller;
    std::optional<tcp_endpoint> m_node;
    std::string m_body;
    bool m_isActive = false;
};

}
