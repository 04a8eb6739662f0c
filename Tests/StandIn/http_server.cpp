#include "StandIn/http_server.h"

namespace vanillashunt {

http_server::http_server(boost::asio::io_context& io, const tcp_endpoint& endpoint, http_connection::handler handler)
    : m_acceptor(io, endpoint)
    , m_handler(std::move(handler))
{
    accept();
}

std::string http_server::address() const
{
    return toString(m_acceptor.local_endpoint());
}

void http_server::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            auto connection = std::make_shared<http_connection>(std::move(socket), m_handler,
                [this](const http_connection::pointer& closed) { m_connections.erase(closed); });
            connection->isSurplus = m_connections.size() >= m_connectionLimit;
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void http_server::closeAllBut(const http_connection::pointer& kept)
{
    auto connections = m_connections;
    for (const auto& connection : connections) {
        if (connection == kept) {
            continue;
        }
        connection->close();
    }
}

void http_server::stop()
{
    m_acceptor.close();
    closeAllBut(nullptr);
}

}
