#include "RawSocket/raw_socket.h"
#include "http/http_client.h"
#include "http/message_parser.h"

#include <boost/beast/http/error.hpp>
#include <gtest/gtest.h>

#include <future>

namespace vanillashunt {

namespace {

    constexpr std::uint64_t maxBodyBytes = 1000;

    // The error of a parser that gets all the bytes at once; need_more if the message goes on.
    template <bool isRequest>
    boost::beast::error_code parse(const std::string& text, bool skipsBody = false)
    {
        message_parser<isRequest> parser;
        parser.setMaxBodyBytes(maxBodyBytes);
        parser.skip(skipsBody);
        boost::beast::error_code error;
        std::size_t used = 0;
        while (used < text.size() && !error && !parser.is_done()) {
            used += parser.put(boost::asio::buffer(text) + used, error);
        }
        return error;
    }

    std::string body(std::size_t bytes)
    {
        return std::string(bytes, 'b');
    }

    // The result of a request to a server that sends this answer and keeps the connection open.
    http_result resultOf(const std::string& answer)
    {
        raw_listener listener;
        std::promise<http_result> result;
        context_thread loop;
        std::unique_ptr<http_client> client;
        loop.runAndWait([&] {
            client = std::make_unique<http_client>(loop.context, http_client_settings {});
            client->send(listener.address(), { "GET", "/", {}, {} }, std::chrono::seconds(60), [&](http_result value) { result.set_value(std::move(value)); });
        });
        auto server = listener.accept();
        server.readUntil("\r\n\r\n");
        server.trySend(answer);
        auto value = result.get_future().get();
        loop.runAndWait([&] { client.reset(); });
        return value;
    }

}

// Guards against a body without bound whose first bytes come with its header: Beast (1.74) then drops the
// error that its own limit has raised.
TEST(BodyLimits, HoldForABodyThatComesWithItsHeader)
{
    auto tooLarge = boost::beast::http::error::body_limit;
    EXPECT_EQ(parse<true>("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"), tooLarge);
    EXPECT_EQ(parse<true>("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n" + body(10)), tooLarge);
    EXPECT_EQ(parse<true>("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + body(1001) + "\r\n"), tooLarge);
    EXPECT_EQ(parse<false>("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n" + body(10)), tooLarge);
    EXPECT_EQ(parse<false>("HTTP/1.1 200 OK\r\n\r\n" + body(1001)), tooLarge);
    EXPECT_EQ(parse<false>("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1f4\r\n" + body(500) + "\r\n1f5\r\n" + body(501) + "\r\n"), tooLarge);
}

// Guards against messages that are refused although their body is within the limit, or is not sent.
TEST(BodyLimits, LeaveOtherMessagesAlone)
{
    EXPECT_FALSE(parse<true>("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + body(1000)));
    EXPECT_FALSE(parse<false>("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body(1000)));
    EXPECT_FALSE(parse<false>("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", true));
    EXPECT_FALSE(parse<false>("HTTP/1.1 304 Not Modified\r\nContent-Length: 2000\r\n\r\n"));
}

// Guards against a process that ends, since it reserves as many bytes as a server in trouble declares.
TEST(BodyLimits, HoldForTheAnswersOfServers)
{
    const std::vector<std::string> answers {
        "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n" + body(10),
        "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99000000000\r\n\r\n" + body(10),
        "HTTP/1.1 200 OK\r\n\r\n" + body(8UL * 1024 * 1024),
    };
    for (const auto& answer : answers) {
        auto result = resultOf(answer);
        EXPECT_TRUE(std::holds_alternative<http_failure>(result)) << answer.substr(0, 80);
    }
}

// Guards against a chunk header, or trailer fields, without end, which are part of no body.
TEST(BodyLimits, HoldForWhatSurroundsChunks)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto& beginning : { head + "5;x=", head + "0\r\nX-Trailer: " }) {
        auto result = resultOf(beginning + body(8UL * 1024 * 1024));
        EXPECT_TRUE(std::holds_alternative<http_failure>(result)) << beginning;
    }
}

}
