#pragma once

#include "http/pooled_socket.h"

#include <cstdint>
#include <memory>
#include <string>

namespace vanillashunt {

// Protocol-independent base class of the connections in a connection_pool. Reads from the
// socket as long as it is open, so that the end of an idle connection is noticed before a
// request is sent on it. The derived class Connection implements these callbacks:
//   void bytesReceived();             received bytes are available
//   bool canRead();                   whether there is room for further bytes; if not, the
//                                     connection calls read() once there is
//   void connectionEnded(error_code); the connection ended with a request in progress
//   void idleConnectionEnded();       the idle connection ended or received unexpected
//                                     bytes; it is already closed
template <typename Connection>
class pooled_connection : public std::enable_shared_from_this<Connection> {
public:
    using time_point = std::chrono::steady_clock::time_point;

    pooled_connection(boost::asio::io_context& context, const std::string& address)
        : m_connection(context, address)
    {
    }

    // Id of the request in progress, set by the pool.
    std::uint64_t activeRequestId = 0;

    const std::string& address() const { return m_connection.address(); }
    time_point idleUntil() const { return m_connection.idleUntil(); }
    bool isEstablished() const { return m_connection.isEstablished(); }
    void close() { m_connection.close(); }

protected:
    void read()
    {
        m_connection.stream().read([self = this->shared_from_this()](const boost::system::error_code& error) { self->readCompleted(error); });
    }

    pooled_socket m_connection;

private:
    void readCompleted(const boost::system::error_code& error)
    {
        auto& connection = static_cast<Connection&>(*this);
        if (m_connection.isClosed()) {
            return;
        }
        if (m_connection.isIdle()) {
            m_connection.close();
            connection.idleConnectionEnded();
            return;
        }
        if (error) {
            connection.connectionEnded(error);
            return;
        }
        connection.bytesReceived();
        if (!m_connection.isClosed() && connection.canRead()) {
            read();
        }
    }
};

}
