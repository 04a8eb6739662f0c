#include "RawSocket/raw_socket.h"
#include "http/connection_acceptor.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace vanillashunt {

namespace {

    // About the number of calls that other nodes have in progress to a node that has just
    // started.
    constexpr std::size_t connectionCount = 200;

    // Handlers that a busy event loop runs in one iteration: epoll reports up to 128 sockets at
    // once.
    constexpr int handlersPerIteration = 128;

    // An event loop that has not run yet, and connections in the backlog of its acceptor.
    struct pending_connections {
        pending_connections()
        {
            for (std::size_t i = 0; i < connectionCount; ++i) {
                clients.push_back(raw_socket::connectTo(acceptor.address()));
            }
        }

        boost::asio::io_context context;
        std::size_t accepted = 0;
        connection_acceptor acceptor { context, "127.0.0.1:0", [this](const boost::asio::ip::tcp::socket&) { ++accepted; } };
        std::vector<raw_socket> clients;
    };

}

// Guards against a node that restarts under high load and accepts connections too slowly:
// every call to it needs a new connection, while an iteration of its event loop takes 8 to
// 12 ms. With one connection accepted per iteration, calls waited for 1.6 s and ran long
// after their callers had disconnected.
TEST(WaitingConnections, AreAcceptedWithinFewIterationsOfABusyLoop)
{
    pending_connections pending;
    auto& context = pending.context;
    auto& accepted = pending.accepted;
    std::function<void()> work = [&] { boost::asio::post(context, work); };
    for (int i = 0; i < handlersPerIteration; ++i) {
        work();
    }
    constexpr int iterations = 8;
    for (int handler = 0; handler < iterations * handlersPerIteration; ++handler) {
        context.run_one();
    }
    EXPECT_EQ(accepted, connectionCount);
}

// The event loop must not accept all connections of a burst before it runs other handlers.
TEST(WaitingConnections, DoNotDelayOtherHandlers)
{
    pending_connections pending;
    auto& context = pending.context;
    auto& accepted = pending.accepted;
    std::size_t maxInARow = 0;
    while (accepted < connectionCount) {
        auto before = accepted;
        context.run_one();
        maxInARow = std::max(maxInARow, accepted - before);
    }
    EXPECT_LE(maxInARow, connectionCount / 2);
}

}
