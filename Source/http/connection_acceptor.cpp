#include "http/connection_acceptor.h"

#include "http/socket_address.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // Maximum number of connections accepted by one handler call. A busy event loop handles
    // up to 128 events in one iteration, which takes about 10 ms; accepting 64 connections
    // takes less than that.
    constexpr int maxAcceptsPerEvent = 64;

}

struct connection_acceptor::state : std::enable_shared_from_this<connection_acceptor::state> {
    state(asio::io_context& context, connection_handler connectionHandler)
        : acceptor(context)
        , handler(std::move(connectionHandler))
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (!self->acceptor.is_open() || error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                self->handOver(std::move(socket));
                self->acceptPending(maxAcceptsPerEvent - 1);
            }
            if (self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    // Accepts the other connections in the backlog. A node that has just started receives a
    // new connection with each call. Accepting only one connection in each iteration of the
    // event loop delayed calls by 1.6 s on a node with 0.4 cores and 5,000 calls per second.
    void acceptPending(int most)
    {
        error_code error;
        for (int accepted = 0; !error && accepted < most && acceptor.is_open(); ++accepted) {
            tcp::socket socket(acceptor.get_executor());
            acceptor.accept(socket, error);
            if (!error) {
                handOver(std::move(socket));
            }
        }
    }

    void handOver(tcp::socket socket)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        handler(std::move(socket));
    }

    tcp::acceptor acceptor;
    connection_handler handler;
};

connection_acceptor::connection_acceptor(asio::io_context& context, const std::string& address, connection_handler handler)
    : m_state(std::make_shared<state>(context, std::move(handler)))
{
    listenOn(m_state->acceptor, address);
    m_state->acceptor.non_blocking(true);
    m_address = toString(m_state->acceptor.local_endpoint());
    m_state->accept();
}

connection_acceptor::~connection_acceptor()
{
    error_code ignored;
    m_state->acceptor.close(ignored);
}

void connection_acceptor::stop()
{
    m_state->acceptPending(tcp::acceptor::max_listen_connections);
    error_code ignored;
    m_state->acceptor.close(ignored);
}

}
