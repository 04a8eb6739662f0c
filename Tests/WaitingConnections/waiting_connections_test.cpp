#include "RawSocket/raw_socket.h"
#include "http/connection_acceptor.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace vanillashunt {

namespace {

    // As many as the calls that other nodes have for one that has just started.
    constexpr std::size_t waitingConnections = 200;

    // Handlers that a turn of a busy loop has: the system tells of so many sockets at once.
    constexpr int handlersOfATurn = 128;

    // A loop that has not run yet, and connections that wait at its port.
    struct waiting_callers {
        waiting_callers()
        {
            for (std::size_t i = 0; i < waitingConnections; ++i) {
                callers.push_back(raw_socket::connectTo(acceptor.address()));
            }
        }

        boost::asio::io_context context;
        std::size_t taken = 0;
        connection_acceptor acceptor { context, "127.0.0.1:0", [this](const boost::asio::ip::tcp::socket&) { ++taken; } };
        std::vector<raw_socket> callers;
    };

}

// The load: a node starts again under a surge, so that every call to it needs a new
// connection, while a turn of its loop takes 8 to 12 ms. With one connection taken in each
// turn a call waited for 1.6 s, and was run long after its caller had left.
TEST(WaitingConnections, AreTakenWithinFewTurnsOfABusyLoop)
{
    waiting_callers world;
    auto& context = world.context;
    auto& taken = world.taken;
    std::function<void()> work = [&] { boost::asio::post(context, work); };
    for (int i = 0; i < handlersOfATurn; ++i) {
        work();
    }
    constexpr int turns = 8;
    for (int handler = 0; handler < turns * handlersOfATurn; ++handler) {
        context.run_one();
    }
    EXPECT_EQ(taken, waitingConnections);
}

// None of the other sockets waits until a flood of connections has been taken.
TEST(WaitingConnections, LeaveTurnsToOthers)
{
    waiting_callers world;
    auto& context = world.context;
    auto& taken = world.taken;
    std::size_t mostInARow = 0;
    while (taken < waitingConnections) {
        auto before = taken;
        context.run_one();
        mostInARow = std::max(mostInARow, taken - before);
    }
    EXPECT_LE(mostInARow, waitingConnections / 2);
}

}
