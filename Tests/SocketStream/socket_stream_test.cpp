#include "http/message_parser.h"
#include "http/socket_stream.h"

#include <boost/asio.hpp>

#include <gtest/gtest.h>

#include <string>

namespace vanillashunt {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    // Both ends of one connection.
    class connected_pair {
    public:
        connected_pair()
            : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , peer(context)
            , stream(context)
        {
            stream.socket().connect(m_acceptor.local_endpoint());
            m_acceptor.accept(peer);
        }

        asio::io_context context;

    private:
        tcp::acceptor m_acceptor;

    public:
        tcp::socket peer;
        socket_stream stream;
    };

    std::string consumeAll(socket_stream& stream)
    {
        std::string text(stream.bytes());
        stream.received().consume(text.size());
        return text;
    }

    // Passes the text to the parser byte by byte and returns the parser.
    template <bool isRequest>
    message_parser<isRequest> parsed(const std::string& text)
    {
        message_parser<isRequest> parser;
        boost::beast::flat_buffer buffer;
        for (char byte : text) {
            *static_cast<char*>(buffer.prepare(1).data()) = byte;
            buffer.commit(1);
            error_code error;
            while (buffer.size() > 0 && !error && !parser.is_done()) {
                buffer.consume(parser.put(buffer.data(), error));
            }
        }
        return parser;
    }

}

TEST(SocketStream, ReportsReceivedBytesAndThenTheEnd)
{
    connected_pair pair;
    asio::write(pair.peer, asio::buffer(std::string("first")));
    error_code receivedError = asio::error::would_block;
    pair.stream.read([&](const error_code& error) { receivedError = error; });
    pair.context.run();
    EXPECT_FALSE(receivedError);
    EXPECT_EQ(consumeAll(pair.stream), "first");
    pair.peer.close();
    pair.stream.read([&](const error_code& error) { receivedError = error; });
    pair.context.restart();
    pair.context.run();
    EXPECT_EQ(receivedError, asio::error::eof);
}

// Message bodies can be about 60 KB long, while the first read takes at most 2 KB.
TEST(SocketStream, ReadsAMessageLongerThanOneRead)
{
    connected_pair pair;
    std::string sent(300000, 'x');
    std::size_t consumed = 0;
    int reads = 0;
    std::function<void(const error_code&)> readMore = [&](const error_code& error) {
        ASSERT_FALSE(error);
        ++reads;
        consumed += consumeAll(pair.stream).size();
        if (consumed < sent.size()) {
            pair.stream.read(readMore);
        }
    };
    pair.stream.read(readMore);
    asio::async_write(pair.peer, asio::buffer(sent), [](error_code, std::size_t) {});
    pair.context.run();
    EXPECT_EQ(consumed, sent.size());
    EXPECT_LT(reads, 100) << "reads do not grow with the received data";
}

TEST(SocketStream, SendsAtOnceWhatTheSystemAccepts)
{
    connected_pair pair;
    std::string bytes = "an answer";
    bool handlerCalled = false;
    EXPECT_TRUE(pair.stream.send(asio::buffer(bytes), [&](const error_code&, std::size_t) { handlerCalled = true; }));
    pair.context.run();
    EXPECT_FALSE(handlerCalled);
    std::string arrived(bytes.size(), ' ');
    asio::read(pair.peer, asio::buffer(arrived));
    EXPECT_EQ(arrived, bytes);
}

// The peer does not read at first: the remaining bytes are sent later, completely and in
// order, and the handler is called once.
TEST(SocketStream, SendsTheRestLater)
{
    connected_pair pair;
    std::string bytes(32UL * 1024 * 1024, 'x');
    bytes.back() = 'y';
    int handlerCalls = 0;
    std::size_t count = 0;
    EXPECT_FALSE(pair.stream.send(asio::buffer(bytes), [&](const error_code& error, std::size_t sent) {
        EXPECT_FALSE(error);
        ++handlerCalls;
        count = sent;
    }));
    std::string arrived(bytes.size(), ' ');
    asio::async_read(pair.peer, asio::buffer(arrived), [](error_code, std::size_t) {});
    pair.context.run();
    EXPECT_EQ(handlerCalls, 1);
    EXPECT_EQ(count, bytes.size());
    EXPECT_TRUE(arrived == bytes);
}

TEST(SocketStream, ReportsAnErrorWhenTheSocketIsShutDown)
{
    connected_pair pair;
    pair.stream.socket().shutdown(tcp::socket::shutdown_send);
    std::string bytes = "an answer";
    error_code receivedError;
    EXPECT_FALSE(pair.stream.send(asio::buffer(bytes), [&](const error_code& error, std::size_t sent) {
        receivedError = error;
        EXPECT_EQ(sent, 0U);
    }));
    pair.context.run();
    EXPECT_EQ(receivedError, asio::error::broken_pipe);
}

// Guards against a reset that is reported as the end of the connection, since the write that was told of it has
// not completed when the read is.
TEST(SocketStream, ReportsAResetDuringAWriteThatGoesOn)
{
    connected_pair pair;
    // On a context of its own, so that each handler that pair.context runs is one of the stream.
    asio::io_context peerContext;
    tcp::socket peer(peerContext, tcp::v4(), pair.peer.release());
    std::string bytes(32UL * 1024 * 1024, 'x');
    error_code receivedError;
    EXPECT_FALSE(pair.stream.send(asio::buffer(bytes), [](const error_code&, std::size_t) {}));
    pair.stream.read([&](const error_code& error) { receivedError = error; });
    pair.context.poll();
    std::string arrived(1024UL * 1024, ' ');
    asio::read(peer, asio::buffer(arrived));
    // The reset arrives when the write has gone on by one step.
    while (pair.context.poll_one() == 0) {
    }
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    pair.context.run();
    EXPECT_EQ(receivedError, asio::error::connection_reset);
}

TEST(MessageParser, LeavesOutHopByHopFields)
{
    auto parser = parsed<true>("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Own: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody");
    ASSERT_TRUE(parser.is_done());
    EXPECT_EQ(parser.method, "POST");
    EXPECT_EQ(parser.target, "/x/1");
    EXPECT_EQ(parser.body, "body");
    EXPECT_EQ(parser.hosts, 1U);
    EXPECT_EQ(parser.connection, "close");
    EXPECT_EQ(parser.keepAlive, "timeout=5");
    ASSERT_EQ(parser.fields.size(), 2U);
    EXPECT_EQ(fieldValue(parser.fields, "host"), "a.example");
    EXPECT_EQ(fieldValue(parser.fields, "x-own"), "1");
}

TEST(MessageParser, ReadsAChunkedBody)
{
    auto parser = parsed<false>("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\n and\r\n0\r\n\r\n");
    ASSERT_TRUE(parser.is_done());
    EXPECT_EQ(parser.status, 200U);
    EXPECT_EQ(parser.body, "body and");
    EXPECT_TRUE(parser.hasSupportedFraming);
    EXPECT_TRUE(parser.fields.empty());
}

TEST(MessageParser, ReportsAmbiguousFraming)
{
    EXPECT_FALSE(parsed<true>("GET /x/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n").hasSupportedFraming);
    EXPECT_EQ(parsed<true>("GET /x/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").hosts, 2U);
}

}
