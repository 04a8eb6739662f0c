#pragma once

#include "http/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

// One request in progress: answered once, or told that its client is gone.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    // Sends the response; further calls do nothing.
    virtual void respond(http_response) = 0;

    // Sets what is called once if the client closes before the response is sent.
    virtual void setDisconnectHandler(std::function<void()>) = 0;
};

using http_handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

struct http_server_limits {
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Longest time for one request to arrive whole, so that a client that
    // trickles holds no connection.
    std::chrono::milliseconds requestTimeout { 10000 };
    // Longest time that a connection stays open without a request.
    std::chrono::milliseconds idleTimeout { 60000 };
};

// Serves HTTP/1.1 on one port. Requests that it cannot read get 400 or 413 with
// a JSON object that names the reason.
class http_server {
public:
    // Throws boost::system::system_error if the address cannot be bound.
    http_server(boost::asio::io_context&, const std::string& listenAddress, const http_server_limits&, http_handler);
    ~http_server();

    // Where it listens: "IP:port".
    std::string address() const;

    // Closes each connection after its next response, so that clients go elsewhere.
    void closeAfterResponses();

    // Accepts no further connection, and closes idle ones; exchanges in progress end normally.
    void stopAccepting();

    // Requests that are arriving, being answered, or whose response is being sent.
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
