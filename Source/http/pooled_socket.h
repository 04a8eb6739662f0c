#pragma once

#include "http/socket_stream.h"

#include <boost/asio/io_context.hpp>
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
    using time_point = std::chrono::steady_clock::time_point;
    using connect_handler = std::function<void(const boost::system::error_code&)>;

    pooled_socket(boost::asio::io_context&, std::string address);

    const std::string& address() const { return m_address; }
    socket_stream& stream() { return m_stream; }
    bool isOpen() { return m_stream.socket().is_open(); }
    bool isClosed() const { return m_closed; }
    // Whether the other side has taken the connection, and neither side has ended it.
    bool isEstablished() const { return m_established && !m_closed; }

    // Opens the connection, from the outgoing address if there is one. The handler is
    // called once, later, unless the socket is closed before.
    void connect(const std::string& outgoingAddress, std::chrono::milliseconds longest, const connect_handler&);

    // From here on there is no request, and the connection may be used again until the time.
    void becomeIdle(time_point now, std::chrono::milliseconds longest);

    // A request begins.
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
