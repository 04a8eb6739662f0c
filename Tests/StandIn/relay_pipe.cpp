#include "StandIn/relay_pipe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace vanillashunt {

namespace {

    // Bytes that wait in a pipe before it stops reading.
    constexpr std::size_t mostWaitingBytes = 1024UL * 1024;

}

relay_pipe::relay_pipe(boost::asio::io_context& io, socket& source, socket& sink, pipe_hooks hooks)
    : m_source(source)
    , m_sink(sink)
    , m_hooks(std::move(hooks))
    , m_timer(io)
{
}

void relay_pipe::start()
{
    read();
}

void relay_pipe::read()
{
    bool isFull = m_waitingBytes >= mostWaitingBytes;
    if (m_isStopped || m_isReading || m_hasEnded || isFull || m_hooks.effects().isCut) {
        return;
    }
    m_isReading = true;
    m_source.async_read_some(boost::asio::buffer(m_buffer), [self = shared_from_this()](boost::system::error_code error, std::size_t length) {
        self->m_isReading = false;
        if (self->m_isStopped) {
            return;
        }
        if (error) {
            self->m_hasEnded = true;
            if (error == boost::asio::error::eof) {
                self->m_hooks.takeEnd();
            } else {
                self->closeAfterwards();
            }
            return;
        }
        self->m_hooks.take(std::string(self->m_buffer.data(), length));
        self->read();
    });
}

void relay_pipe::send(std::string bytes)
{
    enqueue(part_kind::Bytes, std::move(bytes));
}

void relay_pipe::endAfterwards()
{
    enqueue(part_kind::EndOfStream, "");
}

void relay_pipe::closeAfterwards()
{
    m_hasEnded = true;
    enqueue(part_kind::Close, "");
}

void relay_pipe::enqueue(part_kind kind, std::string bytes)
{
    m_waitingBytes += bytes.size();
    m_parts.push_back({ kind, std::move(bytes), clock::now() + m_hooks.delay(m_hooks.effects()) });
    pump();
}

void relay_pipe::resume()
{
    pump();
    read();
}

void relay_pipe::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void relay_pipe::pump()
{
    if (m_isStopped || m_isWriting || m_parts.empty() || m_hooks.effects().isCut) {
        return;
    }
    const auto& next = m_parts.front();
    if (next.due > clock::now()) {
        m_timer.expires_at(next.due);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->pump();
            }
        });
        return;
    }
    if (next.kind == part_kind::Bytes) {
        write();
        return;
    }
    if (next.kind == part_kind::Close) {
        m_hooks.close();
        return;
    }
    m_parts.pop_front();
    boost::system::error_code ignored;
    m_sink.shutdown(socket::shutdown_send, ignored);
    m_hooks.ended();
}

void relay_pipe::write()
{
    m_isWriting = true;
    boost::asio::async_write(m_sink, boost::asio::buffer(m_parts.front().bytes), [self = shared_from_this()](boost::system::error_code error, std::size_t length) {
        self->m_isWriting = false;
        if (self->m_isStopped) {
            return;
        }
        if (error) {
            self->m_hooks.close();
            return;
        }
        self->m_bytesSent += length;
        self->m_waitingBytes -= length;
        self->m_parts.pop_front();
        self->resume();
    });
}

}
