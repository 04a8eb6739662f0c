#include "StandIn/pipelined_connection.h"

#include <utility>

namespace vanillashunt {

pipelined_connection::pipelined_connection(boost::asio::io_context& io, tcp_endpoint target)
    : m_stream(io)
    , m_timer(io)
    , m_target(std::move(target))
{
}

void pipelined_connection::send(http_request request, std::chrono::microseconds timeout, http_call::handler handler)
{
    bool isFirst = !m_isConnected && m_calls.empty();
    m_calls.push_back({ std::move(request), clock::now() + timeout, std::move(handler) });
    if (isFirst) {
        connect();
    } else if (m_isConnected) {
        write();
    }
    if (m_calls.size() == 1) {
        awaitDeadline();
    }
}

void pipelined_connection::connect()
{
    m_stream.async_connect(m_target, [self = shared_from_this()](boost::system::error_code error) {
        if (error) {
            self->fail("connect", error);
            return;
        }
        boost::system::error_code ignored;
        self->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->m_isConnected = true;
        self->write();
    });
}

void pipelined_connection::write()
{
    if (!m_isOpen || m_isWriting || m_written == m_calls.size()) {
        return;
    }
    m_isWriting = true;
    // References to the elements of a deque outlive changes at its ends.
    http::async_write(m_stream, m_calls[m_written].request, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        self->m_isWriting = false;
        if (error) {
            self->fail("write", error);
            return;
        }
        ++self->m_written;
        self->read();
        self->write();
    });
}

void pipelined_connection::read()
{
    if (!m_isOpen || m_isReading || m_written == 0) {
        return;
    }
    m_isReading = true;
    m_parser.emplace();
    m_parser->body_limit(largestBody);
    http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        self->m_isReading = false;
        if (error) {
            self->fail("read", error);
            return;
        }
        self->answered();
    });
}

void pipelined_connection::answered()
{
    auto response = m_parser->release();
    auto handler = std::move(m_calls.front().handler);
    m_calls.pop_front();
    --m_written;
    if (!response.keep_alive()) {
        fail("read", boost::asio::error::eof);
    }
    awaitDeadline();
    read();
    handler(std::move(response));
}

void pipelined_connection::fail(const std::string& step, boost::system::error_code error)
{
    if (!std::exchange(m_isOpen, false)) {
        return;
    }
    m_stream.close();
    m_timer.cancel();
    auto calls = std::exchange(m_calls, {});
    bool isTimeout = error == boost::asio::error::timed_out;
    for (auto& call : calls) {
        call.handler(http_failure { step + ": " + error.message(), isTimeout });
    }
}

void pipelined_connection::awaitDeadline()
{
    if (m_calls.empty()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(m_calls.front().deadline);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_calls.empty() && self->m_calls.front().deadline <= clock::now()) {
            self->fail("wait", boost::asio::error::timed_out);
        }
    });
}

}
