#pragma once

#include "StandIn/event_loop.h"
#include "StandIn/http_types.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillashunt {

// Why a call brought no whole answer.
struct http_failure {
    std::string message;
    bool isTimeout = false;
};

using http_outcome = std::variant<http_response, http_failure>;

// One HTTP call under way, which has its connection to itself. It goes on when
// its starter lets go of it.
class http_call : public std::enable_shared_from_this<http_call> {
public:
    using stream_pointer = std::unique_ptr<boost::beast::tcp_stream>;
    using handler = std::function<void(http_outcome)>;
    // Takes a connection that can serve another call.
    using release_hook = std::function<void(stream_pointer)>;

    http_call(stream_pointer, http_request, handler, release_hook);

    // Connects to the target unless the stream is connected already.
    void start(const tcp_endpoint& target, bool isConnected, std::chrono::microseconds timeout);

    // Closes the connection; the handler is not called any more.
    void cancel();

private:
    void write();
    void read();
    void fail(const std::string& step, boost::system::error_code);
    void succeed();

    stream_pointer m_stream;
    http_request m_request;
    handler m_handler;
    release_hook m_release;
    boost::beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
};

}
