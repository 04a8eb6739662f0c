#pragma once

#include "StandIn/fault_rules.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// What a pipe asks of the connection that it is a part of.
struct pipe_hooks {
    // The faults of the present.
    std::function<fault_effects()> effects;
    // The delay among them that is this direction's.
    std::function<std::chrono::microseconds(const fault_effects&)> delay;
    // Takes bytes that came in; the connection gives them to this pipe or to another.
    std::function<void(std::string)> take;
    // Takes the end of the stream in the same way.
    std::function<void()> takeEnd;
    // This direction has passed its last byte.
    std::function<void()> ended;
    // Both of the connection's sockets are to be closed.
    std::function<void()> close;
};

// One direction of a relayed TCP connection: bytes wait for their delay, in
// order, and stay where they are while the connection is cut.
class relay_pipe : public std::enable_shared_from_this<relay_pipe> {
public:
    using socket = boost::asio::ip::tcp::socket;

    relay_pipe(boost::asio::io_context&, socket& source, socket& sink, pipe_hooks);

    // Begins to read.
    void start();

    // Sends the bytes after the delay of the present.
    void send(std::string bytes);

    // Ends the stream after what has been sent so far.
    void endAfterwards();

    // Closes the connection after what has been sent so far.
    void closeAfterwards();

    // Looks at the faults again after they have changed.
    void resume();

    // Does nothing more; the sockets are about to close.
    void stop();

    std::uint64_t bytesSent() const { return m_bytesSent; }

private:
    using clock = std::chrono::steady_clock;

    // What happens when a part's time has come.
    enum class part_kind : std::uint8_t {
        Bytes,
        EndOfStream,
        Close,
    };

    struct part {
        part_kind kind = part_kind::Bytes;
        std::string bytes;
        clock::time_point due;
    };

    void enqueue(part_kind, std::string bytes);
    void read();
    void pump();
    void write();

    socket& m_source;
    socket& m_sink;
    pipe_hooks m_hooks;
    boost::asio::steady_timer m_timer;
    std::array<char, 16384> m_buffer {};
    std::deque<part> m_parts;
    std::size_t m_waitingBytes = 0;
    std::uint64_t m_bytesSent = 0;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_hasEnded = false;
    bool m_isStopped = false;
};

}
