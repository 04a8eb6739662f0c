#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// Listens on one address and passes each accepted connection to the handler, until it
// is stopped. Connections that fail before they are accepted are ignored.
class connection_acceptor {
public:
    using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    // Throws boost::system::system_error, whose message contains the address, if the address
    // cannot be bound.
    connection_acceptor(boost::asio::io_context&, const std::string& address, connection_handler);
    ~connection_acceptor();

    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

    // The listening address, "IP:port"; still available after stop().
    const std::string& address() const { return m_address; }

    // Passes on the connections in the backlog, which the operating system would reset otherwise, and then
    // stops listening. Further calls have no effect.
    void stop();

private:
    struct state;

    std::shared_ptr<state> m_state;
    std::string m_address;
};

}
