#pragma once

#include "StandIn/event_loop.h"
#include "StandIn/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <limits>
#include <set>

namespace vanillashunt {

// Listens on one port and serves every connection with one handler.
class http_server {
public:
    http_server(boost::asio::io_context&, const tcp_endpoint&, http_connection::handler);

    // The bound address.
    std::string address() const;

    // Connections beyond this number are marked as surplus.
    void setConnectionLimit(std::uint64_t limit) { m_connectionLimit = limit; }

    // Closes all connections but one, which may be null.
    void closeAllBut(const http_connection::pointer&);

    // Stops listening and closes every connection.
    void stop();

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    http_connection::handler m_handler;
    std::set<http_connection::pointer> m_connections;
    std::uint64_t m_connectionLimit = std::numeric_limits<std::uint64_t>::max();
};

}
