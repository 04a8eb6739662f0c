#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace vanillashunt {

// The socket of a client's connection that is opened once, used for one request
// at a time, and kept in a pool between them. Whoever owns it keeps itself alive
// in the handlers.
class pooled_socket {
public:
    using connect_handler = std::function<void(const boost::system::error_code&)>;

    pooled_socket(boost::asio::io_context&, std::string address);

    const std::string& address() const { return m_address; }
    boost::asio::ip::tcp::socket& socket() { return m_socket; }
    bool isClosed() const { return m_closed; }

    // Opens the connection, from the outgoing address if there is one. The handler is
    // called once, later, unless the socket is closed before.
    void connect(const std::string& outgoingAddress, std::chrono::milliseconds longest, const connect_handler&);

    // From here on there is no request. The handler is called once if the other side
    // ends the connection, sends anything, or the time has passed; not after use().
    void becomeIdle(std::chrono::milliseconds longest, const std::function<void()>& ended);

    // A request begins.
    void use();

    void close();

private:
    void endIdle(const std::function<void()>& ended);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_address;
    bool m_connecting = false;
    bool m_idle = false;
    bool m_closed = false;
};

}
