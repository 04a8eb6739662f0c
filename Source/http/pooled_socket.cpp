#include "http/pooled_socket.h"

#include "http/socket_address.h"

#include <boost/asio.hpp>

namespace vanillashunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

pooled_socket::pooled_socket(asio::io_context& context, std::string address)
    : m_socket(context)
    , m_timer(context)
    , m_address(std::move(address))
{
}

void pooled_socket::connect(const std::string& outgoingAddress, std::chrono::milliseconds longest, const connect_handler& handler)
{
    auto endpoint = parseEndpoint(m_address);
    error_code error = asio::error::invalid_argument;
    if (endpoint) {
        error = {};
        openOutgoing(m_socket, *endpoint, outgoingAddress, error);
    }
    m_connecting = true;
    auto finish = [this, handler](const error_code& result) {
        if (!std::exchange(m_connecting, false) || m_closed) {
            return;
        }
        m_timer.cancel();
        handler(result);
    };
    if (error) {
        asio::post(m_socket.get_executor(), [finish, error] { finish(error); });
        return;
    }
    m_timer.expires_after(longest);
    m_timer.async_wait([finish](error_code timerError) {
        if (!timerError) {
            finish(asio::error::timed_out);
        }
    });
    m_socket.async_connect(*endpoint, [finish](error_code connectError) { finish(connectError); });
}

void pooled_socket::becomeIdle(std::chrono::milliseconds longest, const std::function<void()>& ended)
{
    m_idle = true;
    m_socket.async_wait(tcp::socket::wait_read, [this, ended](error_code error) {
        if (!error) {
            endIdle(ended);
        }
    });
    m_timer.expires_after(longest);
    m_timer.async_wait([this, ended](error_code error) {
        if (!error) {
            endIdle(ended);
        }
    });
}

void pooled_socket::endIdle(const std::function<void()>& ended)
{
    if (m_idle && !m_closed) {
        close();
        ended();
    }
}

void pooled_socket::use()
{
    m_idle = false;
    m_timer.cancel();
}

void pooled_socket::close()
{
    m_closed = true;
    error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
}

}
