#include "RawSocket/raw_socket.h"
#include "http/first_request.h"
#include "http/http_server.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace vanillashunt {

namespace {

    // A server whose exchanges the test keeps and answers.
    class server_harness {
    public:
        explicit server_harness(const http_server_limits& limits = {})
        {
            m_loop.runAndWait([&] {
                m_server = std::make_unique<http_server>(m_loop.context, "127.0.0.1:0", limits, [this](const http_request&, const std::shared_ptr<http_exchange>& exchange) { add(exchange); });
            });
        }

        ~server_harness()
        {
            m_loop.runAndWait([this] { m_server.reset(); });
        }

        raw_socket connect() const { return raw_socket::connectTo(m_server->address()); }

        // Waits for the exchange with this number, counted from 0.
        std::shared_ptr<http_exchange> exchange(std::size_t number)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [&] { return m_exchanges.size() > number; });
            return m_exchanges[number];
        }

        void answer(std::size_t number, const std::string& body)
        {
            auto answered = exchange(number);
            m_loop.runAndWait([&] { answered->respond({ 200, {}, body }); });
        }

        void countDisconnect(std::size_t number)
        {
            auto observed = exchange(number);
            m_loop.runAndWait([&] {
                observed->setDisconnectHandler([this] {
                    std::lock_guard<std::mutex> lock(m_mutex);
                    ++m_disconnects;
                    m_changed.notify_all();
                });
            });
        }

        void waitForDisconnects(std::size_t count)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [&] { return m_disconnects >= count; });
        }

        void waitUntilIdle()
        {
            std::size_t inProgress = 1;
            while (inProgress > 0) {
                m_loop.runAndWait([&] { inProgress = m_server->inProgress(); });
            }
        }

        void closeAfterResponses()
        {
            m_loop.runAndWait([this] { m_server->closeAfterResponses(); });
        }

        // What a node does repeatedly while it stops, this long after the present time.
        void stopAccepting(std::chrono::milliseconds elapsed = {})
        {
            m_loop.runAndWait([&] { m_server->stopAccepting(std::chrono::steady_clock::now() + elapsed); });
        }

        // Connects before the server stops accepting, and without the server having accepted the connection.
        raw_socket connectBehindTheAcceptor()
        {
            std::optional<raw_socket> client;
            m_loop.runAndWait([&] {
                client = connect();
                m_server->stopAccepting(std::chrono::steady_clock::now());
            });
            return std::move(*client);
        }

        std::size_t inProgress()
        {
            std::size_t result = 0;
            m_loop.runAndWait([&] { result = m_server->inProgress(); });
            return result;
        }

    private:
        void add(const std::shared_ptr<http_exchange>& exchange)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_exchanges.push_back(exchange);
            m_changed.notify_all();
        }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<std::shared_ptr<http_exchange>> m_exchanges;
        std::size_t m_disconnects = 0;
        context_thread m_loop;
        std::unique_ptr<http_server> m_server;
    };

    std::string get(const std::string& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    }

    std::string post(const std::string& path, std::size_t bodyBytes)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'q');
    }

}

// Guards against a request that goes on for a client that has left after it had sent its next request,
// which nobody reads before the first is answered.
TEST(SequentialClients, CancelTheirRequestByLeavingAfterTheySentTheNext)
{
    for (bool isReset : { false, true }) {
        server_harness server;
        auto client = server.connect();
        client.send(get("/0"));
        server.countDisconnect(0);
        client.send(get("/1") + get("/2"));
        isReset ? client.reset() : client.close();
        server.waitForDisconnects(1);
    }
}

// Guards against a request that goes on for a client that left before the request was taken up.
TEST(SequentialClients, CancelTheirRequestByLeavingBeforeItIsTakenUp)
{
    server_harness server;
    auto client = server.connect();
    client.send(get("/0"));
    server.exchange(0);
    client.close();
    server.waitUntilIdle();
    server.countDisconnect(0);
    server.waitForDisconnects(1);
}

// Guards against a last answer that is lost by a reset, since the client had sent its next request.
TEST(SequentialClients, GetTheirLastAnswerDuringAStopWhileTheySend)
{
    // More than both sockets hold.
    constexpr std::size_t bytesSentAhead = 16UL * 1024 * 1024;
    server_harness server;
    auto client = server.connect();
    client.send(get("/0"));
    server.exchange(0);
    server.closeAfterResponses();
    std::thread sender([&client] { EXPECT_NO_THROW(client.send(post("/1", bytesSentAhead))); });
    server.answer(0, "last");
    sender.join();
    EXPECT_NE(client.readUntil("last").find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.endsWithoutReset());
}

// Guards against a rejection that is lost by a reset, since the client is still sending what was rejected.
TEST(SequentialClients, AreToldThatTheirBodyIsTooLarge)
{
    constexpr std::size_t bodyBytes = 16UL * 1024 * 1024;
    server_harness server;
    auto client = server.connect();
    EXPECT_NO_THROW(client.send(post("/0", bodyBytes)));
    EXPECT_EQ(client.readUntil("\r\n").substr(0, 12), "HTTP/1.1 413");
    EXPECT_TRUE(client.endsWithoutReset());
}

// Guards against a stopping server that closes a connection whose client is about to send its first request,
// whether the server has accepted the connection or not.
TEST(SequentialClients, AreAnsweredIfTheyConnectedJustBeforeTheServerStoppedAccepting)
{
    server_harness server;
    auto client = server.connectBehindTheAcceptor();
    server.stopAccepting();
    EXPECT_EQ(server.inProgress(), 1U);
    client.send(get("/0"));
    server.answer(0, "whole");
    EXPECT_NE(client.readUntil("whole").find("Connection: close"), std::string::npos);
}

// Guards against a stop that waits for a connection on which nothing is sent.
TEST(SequentialClients, DoNotDelayAStopBySendingNothing)
{
    server_harness server;
    auto client = server.connectBehindTheAcceptor();
    server.stopAccepting(first_request::maxWait);
    EXPECT_EQ(server.inProgress(), 0U);
    EXPECT_TRUE(client.endsWithoutReset());
}

// Guards against a stop that resets a connection whose client has not read its last answer yet.
TEST(SequentialClients, MaySendUntilTheyHaveReadTheirLastAnswerWhileTheServerStopsAccepting)
{
    constexpr std::size_t parts = 200;
    server_harness server;
    auto client = server.connect();
    client.send(get("/0"));
    server.exchange(0);
    server.closeAfterResponses();
    server.answer(0, "last");
    for (std::size_t part = 0; part < parts; ++part) {
        server.stopAccepting(first_request::maxWait);
        EXPECT_NO_THROW(client.send(get("/1")));
    }
    EXPECT_NE(client.readUntil("last").find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.endsWithoutReset());
}

}
