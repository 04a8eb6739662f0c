#include "http/socket_address.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <netinet/tcp.h>

namespace vanillashunt {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    // A connection that went silent without a reset shows only by what the system
    // watches itself. Beyond this, requests would wait on it for longer than they have.
    constexpr int longestSilenceMilliseconds = 4000;

    int option(tcp::socket& socket, int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof value;
        EXPECT_EQ(getsockopt(socket.native_handle(), level, name, &value, &size), 0);
        return value;
    }

    void expectWatched(tcp::socket& socket)
    {
        EXPECT_NE(option(socket, SOL_SOCKET, SO_KEEPALIVE), 0);
        // Bytes that nobody acknowledges.
        EXPECT_GT(option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
        EXPECT_LE(option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), longestSilenceMilliseconds);
        // A connection on which nothing is under way.
        auto probes = option(socket, IPPROTO_TCP, TCP_KEEPCNT) * option(socket, IPPROTO_TCP, TCP_KEEPINTVL);
        EXPECT_LE(1000 * (option(socket, IPPROTO_TCP, TCP_KEEPIDLE) + probes), longestSilenceMilliseconds);
    }

}

// The load: open connections between machines, to the store and to servers go silent for
// good, while new ones work. On the loopback nothing can go silent; what notices it can
// be seen all the same.
TEST(SilentConnections, AreNoticedByWhoOpenedThem)
{
    asio::io_context context;
    tcp::acceptor acceptor(context);
    listenOn(acceptor, "127.0.0.1:0");
    tcp::socket socket(context);
    boost::system::error_code error;
    openOutgoing(socket, acceptor.local_endpoint(), "127.0.0.1", error);
    ASSERT_FALSE(error);
    expectWatched(socket);
}

TEST(SilentConnections, AreNoticedByWhoAcceptedThem)
{
    asio::io_context context;
    tcp::acceptor acceptor(context);
    listenOn(acceptor, "127.0.0.1:0");
    tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    auto accepted = acceptor.accept();
    watchLiveness(accepted);
    expectWatched(accepted);
}

}
