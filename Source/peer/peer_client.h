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
    // Address that connections are bound to; empty for any.
    std::string outgoingAddress;
    std::uint64_t maxBodyBytes = 1024ULL * 1024;
    // Idle connections that are kept for each peer.
    std::size_t maxIdle = 32;
    // How long an idle connection is kept.
    std::chrono::milliseconds idleTimeout { 30000 };
    // A connection that is not open by then counts as unreachable.
    std::chrono::milliseconds connectTimeout { 250 };
};

// Answers that arrived and could not be used, since the start.
struct peer_client_counts {
    std::uint64_t crossedAnswers = 0;
    std::uint64_t damagedAnswers = 0;
    std::uint64_t connectsFailed = 0;
};

using answer_handler = std::function<void(call_answer)>;

// Sends calls to other nodes over persistent connections, one call at a time on
// each. Giving up an answer closes its connection, which cancels the call at the
// other end and makes sure that a late answer meets nobody else's call.
class peer_client {
public:
    peer_client(boost::asio::io_context&, const peer_client_settings&);
    ~peer_client();

    // The handler is called exactly once, unless the call is cancelled. A call that
    // may have been sent and brought no whole answer has the verdict may_have_run.
    std::uint64_t start(const std::string& address, const call_request&, answer_handler);

    void cancel(std::uint64_t id);

    const peer_client_counts& counts() const;
    std::size_t inProgress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

}
