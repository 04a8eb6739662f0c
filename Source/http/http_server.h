#pragma once

#include "budget/byte_budget.h"
#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// One request in progress. Ends with one response or with the disconnect of the client.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    // Sends the response; further calls do nothing.
    virtual void respond(http_response) = 0;

    // Sets the callback that is called once if the client disconnects before respond(); it is called at once
    // if the client has disconnected already.
    virtual void setDisconnectHandler(std::function<void()>) = 0;
};

using http_handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

struct http_server_limits {
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Maximum time to receive one complete request, so that a client that sends it very
    // slowly cannot occupy a connection.
    std::chrono::milliseconds requestTimeout { 10000 };
    // Maximum time that a connection stays open without a request.
    std::chrono::milliseconds idleTimeout { 60000 };
    // Limits the bytes of all messages of the node. Optional.
    std::shared_ptr<byte_budget> budget {};
    // What the received requests count as in the budget.
    byte_place place = byte_place::Control;
};

// Serves HTTP/1.1 on one port. Responds to malformed requests with 400 and to requests
// that are too large with 413, and to those for which the node has no memory with 503; the body is a JSON object that contains the reason.
class http_server {
public:
    // Throws boost::system::system_error if the address cannot be bound.
    http_server(boost::asio::io_context&, const std::string& listenAddress, const http_server_limits&, http_handler);
    ~http_server();

    // The listening address, "IP:port".
    std::string address() const;

    // Closes each connection after its next response, so that clients connect to other
    // nodes.
    void closeAfterResponses();

    // Stops accepting connections and closes idle ones, except for those that have just been accepted and
    // are about to receive their first request; exchanges in progress are completed. To be called
    // periodically from then on, to close what remains idle.
    void stopAccepting(std::chrono::steady_clock::time_point now);

    // Number of requests that are being received, handled or responded to, or for which the server waits
    // after stopAccepting().
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
