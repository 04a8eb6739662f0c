#pragma once

#include "http/http_server.h"
#include "routes/route_configuration.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

struct pipeline_server_hooks {
    // What clients may send now; asked for each request.
    std::function<client_limits()> limits;
    // Takes each whole request; the fields include Host. It is answered once.
    http_handler request;
};

// Connections that the server ended, and requests that it refused itself, since the start.
struct pipeline_server_counts {
    std::uint64_t connections = 0;
    std::uint64_t malformed = 0;
    std::uint64_t tooLarge = 0;
    std::uint64_t tooSlow = 0;
};

// Serves HTTP/1.1 to clients that may send further requests before the first is
// answered: works on them at once, and answers in the order in which they came.
class pipeline_server {
public:
    // Throws boost::system::system_error if the address cannot be bound.
    pipeline_server(boost::asio::io_context&, const std::string& listenAddress, pipeline_server_hooks);
    ~pipeline_server();

    // Where it listens: "IP:port".
    std::string address() const;

    // Ends connections whose client takes too long; to be called several times a second.
    void enforceTimeouts(std::chrono::steady_clock::time_point now);

    // Closes each connection after its last answer, so that clients go elsewhere.
    void closeAfterAnswers();

    // Accepts no further connection, and closes idle ones.
    void stopAccepting();

    // Requests that are being answered, or whose answer is being sent.
    std::size_t inProgress() const;

    const pipeline_server_counts& counts() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
