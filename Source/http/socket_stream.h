#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

namespace vanillashunt {

// A connected socket that costs few system calls for each message. One read is
// outstanding all the time, also while nothing is expected, so that bytes and the end
// of the connection are told without a further wait; and bytes are sent at once where
// the system takes them. A call takes 8 system calls at its target's node, and 15 with a
// read of each head, one of each rest, a wait for each end and writes that end later;
// the processor time of a call falls by a fifth (strace and `measure call-cost`).
class socket_stream {
public:
    using tcp_socket = boost::asio::ip::tcp::socket;
    using error_code = boost::system::error_code;

    explicit socket_stream(tcp_socket socket)
        : m_socket(std::move(socket))
    {
    }

    // Not connected yet.
    explicit socket_stream(boost::asio::io_context& context)
        : m_socket(context)
    {
    }

    tcp_socket& socket() { return m_socket; }

    // What came and was not consumed yet.
    boost::beast::flat_buffer& received() { return m_received; }

    // The same, to be looked at.
    std::string_view bytes() const
    {
        auto bytes = m_received.data();
        return { static_cast<const char*>(bytes.data()), bytes.size() };
    }

    // Calls the handler once, with an error or when bytes have come. There may be one
    // read at a time.
    template <typename Handler>
    void read(Handler handler)
    {
        if (m_received.size() == 0 && m_received.capacity() > keptBytes) {
            m_received.clear();
            m_received.shrink_to_fit();
        }
        m_socket.async_read_some(m_received.prepare(m_readBytes), [this, handler = std::move(handler)](const error_code& error, std::size_t count) {
            // Memory is taken for what comes: most messages are short, and a node has
            // hundreds of connections.
            m_readBytes = count == m_readBytes ? std::min(m_readBytes * growth, mostReadBytes) : leastReadBytes;
            m_received.commit(count);
            handler(error);
        });
    }

    // Sends all the bytes, which have to stay where they are until then. Returns whether
    // the system took them at once; otherwise the handler is called once, later, with
    // the error and the number of bytes that were taken.
    template <typename Handler>
    bool send(boost::asio::const_buffer bytes, Handler handler)
    {
        error_code error;
        if (!m_socket.non_blocking()) {
            m_socket.non_blocking(true, error);
        }
        auto taken = error ? 0 : m_socket.write_some(bytes, error);
        if (!error && taken == bytes.size()) {
            return true;
        }
        if (error && error != boost::asio::error::would_block) {
            boost::asio::post(m_socket.get_executor(), [handler = std::move(handler), error, taken] { handler(error, taken); });
            return false;
        }
        boost::asio::async_write(m_socket, bytes + taken, [handler = std::move(handler), taken](const error_code& writeError, std::size_t count) {
            handler(writeError, taken + count);
        });
        return false;
    }

private:
    static constexpr std::size_t leastReadBytes = 2048;
    static constexpr std::size_t mostReadBytes = 65536;
    static constexpr std::size_t growth = 4;
    // An empty buffer that has grown beyond this is given back.
    static constexpr std::size_t keptBytes = 8192;

    tcp_socket m_socket;
    boost::beast::flat_buffer m_received;
    std::size_t m_readBytes = leastReadBytes;
};

}
