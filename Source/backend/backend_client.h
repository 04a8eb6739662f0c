#pragma once

#include "call/call_answer.h"
#include "call/call_request.h"
#include "http/http_client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace vanillashunt {

// Runs calls on the node's own backend server over HTTP.
class backend_client {
public:
    backend_client(boost::asio::io_context&, const http_client_settings&);

    using answered_handler = std::function<void(call_answer)>;

    // Sends the call with the opaque context that its onward calls must carry. The handler is
    // called exactly once, unless the call is cancelled. The verdict is not_run only if no byte
    // was sent or the backend server states that it did not run the call. Returns the id for cancel().
    std::uint64_t run(const std::string& address, const call_request&, const std::string& contextText,
        std::chrono::steady_clock::time_point now, answered_handler);

    // Closes the call's connection, which tells the backend server to stop. The handler is not called.
    void cancel(std::uint64_t id);

    // Sends a GET request to the backend server's health or load endpoint.
    void probe(const std::string& address, const std::string& path, std::chrono::milliseconds timeout, http_result_handler);

private:
    http_client m_client;
};

}
