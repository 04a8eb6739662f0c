#pragma once

#include "budget/byte_budget.h"
#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace vanillashunt {

// Why no complete response was received.
struct http_failure {
    // Whether any byte of the request may have reached the server.
    bool sent = false;
    // Whether the timeout of the request expired.
    bool timedOut = false;
    // Whether the response exceeds the size limit, or there was no room for it.
    bool tooLarge = false;
    bool noMemory = false;
    std::string message;
};

using http_result = std::variant<http_response, http_failure>;
using http_result_handler = std::function<void(http_result)>;

struct http_client_settings {
    // Local IP address that connections are bound to; empty for any.
    std::string outgoingAddress;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Maximum number of idle connections kept per server.
    std::size_t maxIdle = 64;
    // Limits the bytes of all messages of the node. Optional.
    std::shared_ptr<byte_budget> budget {};
    // What the received messages count as in the budget.
    byte_place place = byte_place::Control;
};

// Sends HTTP/1.1 requests over persistent connections, one request at a time on each
// connection. A connection whose response is no longer awaited is closed, not reused.
class http_client {
public:
    http_client(boost::asio::io_context&, const http_client_settings&);
    ~http_client();

    // Sends a request to "IP:port" and returns its id for cancel(). The handler is called
    // exactly once, unless the request is cancelled.
    std::uint64_t send(const std::string& address, const http_request&, std::chrono::milliseconds timeout, http_result_handler);

    // Closes the connection of the request, which signals the cancellation to the server. The
    // handler is not called.
    void cancel(std::uint64_t id);

    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
