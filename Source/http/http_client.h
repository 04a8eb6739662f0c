#pragma once

#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillashunt {

// Why no whole response came.
struct http_failure {
    // Whether any byte of the request may have reached the server.
    bool sent = false;
    // Whether the time was over.
    bool timedOut = false;
    std::string message;
};

using http_result = std::variant<http_response, http_failure>;
using http_result_handler = std::function<void(http_result)>;

struct http_client_settings {
    // Address that connections are bound to; empty for any.
    std::string outgoingAddress;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Idle connections that are kept for each server.
    std::size_t maxIdle = 64;
};

// Sends HTTP/1.1 requests over persistent connections, one request at a time
// on each. A connection on which a response was given up is closed, not reused.
class http_client {
public:
    http_client(boost::asio::io_context&, const http_client_settings&);
    ~http_client();

    // Sends to "IP:port"; the handler is called exactly once, unless the request is cancelled.
    std::uint64_t send(const std::string& address, const http_request&, std::chrono::milliseconds timeout, http_result_handler);

    // Closes the request's connection, which tells the server to stop. The handler is not called.
    void cancel(std::uint64_t id);

    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
