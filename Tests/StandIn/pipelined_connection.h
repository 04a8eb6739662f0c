#pragma once

#include "StandIn/http_call.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>

namespace vanillashunt {

// A connection on which calls are sent before earlier ones are answered. The answers come in the order
// of the calls; a call that is not answered in time ends the connection, and fails those behind it.
class pipelined_connection : public std::enable_shared_from_this<pipelined_connection> {
public:
    pipelined_connection(boost::asio::io_context&, tcp_endpoint target);

    // The handler is called once, from the event loop.
    void send(http_request, std::chrono::microseconds timeout, http_call::handler);

    bool isOpen() const { return m_isOpen; }
    std::size_t unanswered() const { return m_calls.size(); }

private:
    using clock = std::chrono::steady_clock;

    struct pending_call {
        http_request request;
        clock::time_point deadline;
        http_call::handler handler;
    };

    void connect();
    void write();
    void read();
    void answered();
    void fail(const std::string& step, boost::system::error_code);
    void awaitDeadline();

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_timer;
    tcp_endpoint m_target;
    // The first m_written of them have been sent.
    std::deque<pending_call> m_calls;
    std::size_t m_written = 0;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    bool m_isOpen = true;
    bool m_isConnected = false;
    bool m_isWriting = false;
    bool m_isReading = false;
};

}
