#pragma once

#include "StandIn/proxy_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace vanillashunt {

// Relays the datagrams of one link. Each source has a socket of its own towards
// the upstream, bound to the source's address, so that answers find their way.
class udp_link {
public:
    // All outlive this. The link's port is set to the one that is bound.
    udp_link(boost::asio::io_context&, proxy_link&, link_counters&, fault_rules&, std::mt19937_64&);
    ~udp_link();

private:
    using endpoint = boost::asio::ip::udp::endpoint;
    using buffer = std::array<char, 65536>;

    // One source and the socket that stands for it.
    struct flow {
        flow(boost::asio::io_context&, const endpoint& source);
        endpoint source;
        boost::asio::ip::udp::socket socket;
        buffer bytes;
        endpoint sender;
    };

    void receive();
    void receiveAnswer(const std::shared_ptr<flow>&);
    std::shared_ptr<flow> flowOf(const endpoint& source);
    void pass(const endpoint& source, std::string bytes, bool isAnswer);
    void deliver(const endpoint& source, const std::string& bytes, bool isAnswer);

    boost::asio::io_context& m_io;
    proxy_link& m_link;
    link_counters& m_counters;
    fault_rules& m_rules;
    std::mt19937_64& m_random;
    boost::asio::ip::udp::socket m_socket;
    buffer m_buffer {};
    endpoint m_sender;
    std::map<endpoint, std::shared_ptr<flow>> m_flows;
    // Tells a delayed datagram whether the link is still there.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
