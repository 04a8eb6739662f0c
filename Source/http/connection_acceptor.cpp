#include "http/connection_acceptor.h"

#include "http/socket_address.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

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
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                self->handler(std::move(socket));
            }
            self->accept();
        });
    }

    tcp::acceptor acceptor;
    connection_handler handler;
};

connection_acceptor::connection_acceptor(asio::io_context& context, const std::string& address, connection_handler handler)
    : m_state(std::make_shared<state>(context, std::move(handler)))
{
    listenOn(m_state->acceptor, address);
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
