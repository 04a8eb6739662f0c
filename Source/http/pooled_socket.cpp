#include "http/pooled_socket.h"

#include "http/socket_address.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using boost::system::error_code;

pooled_socket::pooled_socket(asio::io_context& context, std::string address)
    : m_stream(context)
    , m_timer(context)
    , m_address(std::move(address))
{
}

void pooled_socket::connect(const std::string& outgoingAddress, std::chrono::milliseconds timeout, const connect_handler& handler)
{
    auto endpoint = parseEndpoint(m_address);
    error_code error = asio::error::invalid_argument;
    if (endpoint) {
        error = {};
        openOutgoing(m_stream.socket(), *endpoint, outgoingAddress, error);
    }
    m_connecting = true;
    auto finish = [this, handler](const error_code& result) {
        if (!std::exchange(m_connecting, false) || m_closed) {
            return;
        }
        m_timer.cancel();
        m_established = !result;
        handler(result);
    };
    if (error) {
        asio::post(m_stream.socket().get_executor(), [finish, error] { finish(error); });
        return;
    }
    m_timer.expires_after(timeout);
    m_timer.async_wait([finish](error_code timerError) {
        if (!timerError) {
            finish(asio::error::timed_out);
        }
    });
    m_stream.socket().async_connect(*endpoint, [finish](error_code connectError) { finish(connectError); });
}

void pooled_socket::becomeIdle(time_point now, std::chrono::milliseconds idleTimeout)
{
    m_idle = true;
    m_idleSince = now;
    m_idleUntil = now + idleTimeout;
}

void pooled_socket::close()
{
    m_closed = true;
    error_code ignored;
    m_timer.cancel();
    m_stream.socket().close(ignored);
}

}
