#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// Listens on one address and hands over each connection that comes, until it is
// stopped. Connections that failed before they were taken are passed over.
class connection_acceptor {
public:
    using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Throws boost::system::system_error that names the address if it cannot be bound.
    connection_acceptor(boost::asio::io_context&, const std::string& address, connection_handler);
    ~connection_acceptor();

    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

    // Where it listens: "IP:port"; also after it was stopped.
    const std::string& address() const { return m_address; }

    void stop();

private:
    struct state;

    std::shared_ptr<state> m_state;
    std::string m_address;
};

}
