#include "http/socket_address.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <netinet/tcp.h>

namespace vanillashunt {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    // Only the operating system can detect a peer that became unreachable without a reset. If
    // that took longer, requests on the connection would wait beyond their deadlines.
    constexpr int maxSilenceMilliseconds = 4000;

    int socketOption(tcp::socket& socket, int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof value;
        EXPECT_EQ(getsockopt(socket.native_handle(), level, name, &value, &size), 0);
        return value;
    }

    void expectDeadPeerDetection(tcp::socket& socket)
    {
        EXPECT_NE(socketOption(socket, SOL_SOCKET, SO_KEEPALIVE), 0);
        // Detection by unacknowledged data.
        EXPECT_GT(socketOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
        EXPECT_LE(socketOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), maxSilenceMilliseconds);
        // Detection by keep-alive probes on a connection without traffic.
        auto probes = socketOption(socket, IPPROTO_TCP, TCP_KEEPCNT) * socketOption(socket, IPPROTO_TCP, TCP_KEEPINTVL);
        EXPECT_LE(1000 * (socketOption(socket, IPPROTO_TCP, TCP_KEEPIDLE) + probes), maxSilenceMilliseconds);
    }

}

// Guards against open connections to other nodes, to the store and to backend servers that
// stop transferring data for good without being closed, while new connections work. This
// cannot happen on the loopback interface, so the tests check the socket options instead.
TEST(SilentConnections, AreDetectedOnOutgoingSockets)
{
    asio::io_context context;
    tcp::acceptor acceptor(context);
    listenOn(acceptor, "127.0.0.1:0");
    tcp::socket socket(context);
    boost::system::error_code error;
    openOutgoing(socket, acceptor.local_endpoint(), "127.0.0.1", error);
    ASSERT_FALSE(error);
    expectDeadPeerDetection(socket);
}

TEST(SilentConnections, AreDetectedOnAcceptedSockets)
{
    asio::io_context context;
    tcp::acceptor acceptor(context);
    listenOn(acceptor, "127.0.0.1:0");
    tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    auto accepted = acceptor.accept();
    enableDeadPeerDetection(accepted);
    expectDeadPeerDetection(accepted);
}

}
