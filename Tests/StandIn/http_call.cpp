#include "StandIn/http_call.h"

#include <utility>

namespace vanillashunt {

http_call::http_call(stream_pointer stream, http_request request, handler handler, release_hook release)
    : m_stream(std::move(stream))
    , m_request(std::move(request))
    , m_handler(std::move(handler))
    , m_release(std::move(release))
{
    m_parser.body_limit(largestBody);
}

void http_call::start(const tcp_endpoint& target, bool isConnected, std::chrono::microseconds timeout)
{
    m_stream->expires_after(timeout);
    if (isConnected) {
        write();
        return;
    }
    m_stream->async_connect(target, [self = shared_from_this()](boost::system::error_code error) {
        if (error) {
            self->fail("connect", error);
            return;
        }
        boost::system::error_code ignored;
        self->m_stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->write();
    });
}

void http_call::write()
{
    http::async_write(*m_stream, m_request, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error) {
            self->fail("write", error);
            return;
        }
        self->read();
    });
}

void http_call::read()
{
    http::async_read(*m_stream, m_buffer, m_parser, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error) {
            self->fail("read", error);
            return;
        }
        self->succeed();
    });
}

void http_call::cancel()
{
    m_handler = nullptr;
    if (m_stream) {
        m_stream->close();
    }
}

void http_call::fail(const std::string& step, boost::system::error_code error)
{
    m_stream->close();
    auto handler = std::exchange(m_handler, nullptr);
    if (!handler) {
        return;
    }
    bool isTimeout = error == boost::beast::error::timeout;
    handler(http_failure { step + ": " + error.message(), isTimeout });
}

void http_call::succeed()
{
    auto response = m_parser.release();
    auto handler = std::exchange(m_handler, nullptr);
    bool isReusable = handler && response.keep_alive() && m_buffer.size() == 0;
    auto stream = std::exchange(m_stream, nullptr);
    if (isReusable) {
        stream->expires_never();
        m_release(std::move(stream));
    }
    if (handler) {
        handler(std::move(response));
    }
}

}
