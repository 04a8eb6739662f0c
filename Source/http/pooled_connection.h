#pragma once

#include "http/pooled_socket.h"

#include <cstdint>
#include <memory>
#include <string>

namespace vanillashunt {

// What the connections of a connection_pool have in common, whatever goes over them: a
// socket that is read from its opening to its end, so that the end of an idle connection
// is noticed before a request is lost on it. A Connection has, for bytes and ends:
//   void bytesReceived();                 what has been received is to be looked at
//   void connectionEnded(error_code); with a request in progress
//   void idleConnectionEnded();                 or bytes came that nobody has asked for; it is closed
template <typename Connection>
class pooled_connection : public std::enable_shared_from_this<Connection> {
public:
    using time_point = std::chrono::steady_clock::time_point;

    pooled_connection(boost::asio::io_context& context, const std::string& address)
        : m_connection(context, address)
    {
    }

    // The pool's name for the request in progress.
    std::uint64_t startedId = 0;

    const std::string& address() const { return m_connection.address(); }
    time_point idleUntil() const { return m_connection.idleUntil(); }
    bool isEstablished() const { return m_connection.isEstablished(); }
    void close() { m_connection.close(); }

protected:
    void read()
    {
        m_connection.stream().read([self = this->shared_from_this()](const boost::system::error_code& error) { self->readEnded(error); });
    }

    pooled_socket m_connection;

private:
    void readEnded(const boost::system::error_code& error)
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
        if (!m_connection.isClosed()) {
            read();
        }
    }
};

}
