#pragma once

#include "call/call_answer.h"
#include "call/call_request.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace vanillashunt {

struct peer_client_settings {
    // Local IP address that connections are bound to; empty for any.
    std::string outgoingAddress;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Maximum number of idle connections kept per peer.
    std::size_t maxIdle = 32;
    // Maximum time that a connection stays idle.
    std::chrono::milliseconds idleTimeout { 30000 };
    // A peer that has not accepted the connection by then is considered unreachable.
    std::chrono::milliseconds connectTimeout { 250 };
    // Limits the bytes of all messages of the node. Optional.
    std::shared_ptr<byte_budget> budget {};
};

// Failures since the start of the process.
struct peer_client_counts {
    // Answers that belong to another call than the one in progress on their connection.
    std::uint64_t crossedAnswers = 0;
    // Answers that could not be decoded.
    std::uint64_t damagedAnswers = 0;
    std::uint64_t connectsFailed = 0;
};

using answer_handler = std::function<void(call_answer)>;

// Sends calls to other nodes over persistent connections, one call at a time on each
// connection. Cancelling a call closes its connection, which cancels the call at the peer
// and ensures that a late answer is never received as the answer to another call.
class peer_client {
public:
    peer_client(boost::asio::io_context&, const peer_client_settings&);
    ~peer_client();

    // Sends a call to the peer at "IP:port" and returns its id for cancel(). The handler is
    // called exactly once, unless the call is cancelled. If the call may have been sent completely but no
    // complete answer was received, the answer has the verdict may_have_run.
    std::uint64_t start(const std::string& address, const call_request&, answer_handler);

    // Closes the connection of the call. The handler is not called.
    void cancel(std::uint64_t id);

    const peer_client_counts& counts() const;
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
