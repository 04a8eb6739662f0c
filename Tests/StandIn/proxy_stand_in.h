#pragma once

#include "StandIn/http_server.h"
#include "StandIn/tcp_link.h"
#include "StandIn/udp_link.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

// What the proxy reads at its start.
struct proxy_settings {
    std::string control = "127.0.0.1:0";
    std::vector<proxy_link> links;
    // Of the lost datagrams.
    std::uint64_t seed = 1;
};

// Stands between many processes and does harm to their traffic as it is told.
class proxy_stand_in {
public:
    proxy_stand_in(boost::asio::io_context&, const proxy_settings&);

    // Its control address and its links.
    Json::Value toJson() const;

private:
    // A link with its relays.
    struct relayed_link {
        proxy_link link;
        link_counters counters;
        std::unique_ptr<tcp_link> tcp;
        std::unique_ptr<udp_link> udp;
    };

    void serve(const http_connection::pointer&);
    Json::Value control(const Json::Value& command);
    Json::Value add(proxy_link);
    void bind(relayed_link&);
    relayed_link& find(const std::string& name);
    void resume();

    boost::asio::io_context& m_io;
    fault_rules m_rules;
    std::mt19937_64 m_random;
    std::map<std::string, relayed_link> m_links;
    std::size_t m_lastNumber = 0;
    http_server m_server;
};

// Runs the subcommand "proxy".
int runProxy(int argc, char** argv);

}
