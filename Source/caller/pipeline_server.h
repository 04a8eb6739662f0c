#pragma once

#include "budget/byte_budget.h"
#include "caller/connection_loss.h"
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
    // Returns the current limits for clients; called for each request.
    std::function<client_limits()> limits;
    // Handles each complete request; its fields include Host. The exchange is answered once.
    http_handler request;
    // Reports that a connection has reached the maximum number of unanswered requests. Optional.
    std::function<void(std::size_t unanswered)> connectionFull;
    // Optional.
    std::function<void(const connection_loss&)> connectionLost;
    // Limits the bytes of all messages of the node. Optional.
    std::shared_ptr<byte_budget> budget {};
};

// Connections accepted, and requests that the server rejected itself, since its start.
struct pipeline_server_counts {
    std::uint64_t connections = 0;
    std::uint64_t malformed = 0;
    std::uint64_t tooLarge = 0;
    std::uint64_t tooSlow = 0;
    // Requests for which there was no room.
    std::uint64_t noRoom = 0;
    // Times that a connection became full.
    std::uint64_t filled = 0;
    // Requests that were unanswered when their connection ended.
    std::uint64_t abandonedRequests = 0;
};

// Serves HTTP/1.1 with pipelining: the requests of one connection are processed concurrently and
// answered in the order in which they arrived.
class pipeline_server {
public:
    // Throws boost::system::system_error if the address cannot be bound.
    pipeline_server(boost::asio::io_context&, const std::string& listenAddress, pipeline_server_hooks);
    ~pipeline_server();

    // The address that it listens on: "IP:port".
    std::string address() const;

    // Closes connections whose client exceeds a time limit, or has left while nothing was read from its
    // connection; must be called several times a second.
    void enforceTimeouts(std::chrono::steady_clock::time_point now);

    // Closes each connection after its last pending answer, so that clients connect to other nodes.
    void closeAfterAnswers();

    // Accepts no further connections and closes idle ones, except for those that have just been accepted and
    // are about to receive their first request. To be called periodically from then on, to close what
    // remains idle.
    void stopAccepting(std::chrono::steady_clock::time_point now);

    // Number of requests that are being received or processed, whose answers are being sent, or for which
    // the server waits after stopAccepting().
    std::size_t inProgress() const;

    // Number of open connections.
    std::size_t connections() const;

    // Number of connections from which nothing is read before an answer has been sent.
    std::size_t pausedConnections() const;

    // Bytes that have been received and are not part of an accepted request.
    std::size_t readAheadBytes() const;

    const pipeline_server_counts& counts() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
