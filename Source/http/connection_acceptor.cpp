#include "http/connection_acceptor.h"

#include "http/socket_address.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // Connections that are taken in one go, at most. A busy loop has 128 events in each
    // turn, which take some 10 ms; as many connections again take less time than that.
    constexpr int mostAtOnce = 64;

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
                self->acceptWaiting();
            }
            if (self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    // Takes what waits behind the first one. A node that has just started gets a connection
    // with each call; where a turn of the loop took one of them, calls waited for 1.6 s on a
    // node of 0.4 cores with 5,000 calls a second (the test WaitingConnections).
    void acceptWaiting()
    {
        error_code error;
        for (int taken = 1; !error && taken < mostAtOnce && acceptor.is_open(); ++taken) {
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
    stop();
}

void connection_acceptor::stop()
{
    error_code ignored;
    m_state->acceptor.close(ignored);
}

}
