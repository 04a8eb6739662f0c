#pragma once

#include "http/socket_stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace vanillashunt {

// The socket of a client connection. It is opened once, used for one request at a time
// and kept in a pool between requests. The owner must stay alive until the handlers it
// passes have run, for example by capturing a shared pointer to itself.
class pooled_socket {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using connect_handler = std::function<void(const boost::system::error_code&)>;

    pooled_socket(boost::asio::io_context&, std::string address);

    const std::string& address() const { return m_address; }
    socket_stream& stream() { return m_stream; }
    bool isOpen() { return m_stream.socket().is_open(); }
    bool isClosed() const { return m_closed; }
    // Whether the connection was established and has not been closed since.
    bool isEstablished() const { return m_established && !m_closed; }

    // Connects, from the outgoing IP address unless it is empty. The handler is called
    // exactly once and never from within connect(), unless the socket is closed before.
    void connect(const std::string& outgoingAddress, std::chrono::milliseconds timeout, const connect_handler&);

    // Marks the connection as idle; it may be reused until the idle timeout expires.
    void becomeIdle(time_point now, std::chrono::milliseconds idleTimeout);

    // Marks the connection as busy with a request.
    void use() { m_idle = false; }

    bool isIdle() const { return m_idle; }
    time_point idleSince() const { return m_idleSince; }
    time_point idleUntil() const { return m_idleUntil; }

    void close();

private:
    socket_stream m_stream;
    boost::asio::steady_timer m_timer;
    std::string m_address;
    time_point m_idleSince;
    time_point m_idleUntil;
    bool m_connecting = false;
    bool m_established = false;
    bool m_idle = false;
    bool m_closed = false;
};

}
