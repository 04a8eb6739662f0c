#include "RawSocket/raw_socket.h"
#include "caller/pipeline_server.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <random>

namespace vanillashunt {

namespace {

    struct arrived_request {
        http_request request;
        std::shared_ptr<http_exchange> exchange;
    };

    // A server whose requests the test answers when it likes.
    class edge {
    public:
        edge()
        {
            pipeline_server_hooks hooks;
            hooks.limits = [this] { return limits; };
            hooks.request = [this](http_request request, const std::shared_ptr<http_exchange>& exchange) { note(std::move(request), exchange); };
            m_server = std::make_unique<pipeline_server>(m_loop.context, "127.0.0.1:0", hooks);
        }

        ~edge()
        {
            onLoop([this] { m_server.reset(); });
        }

        raw_socket connect() const { return raw_socket::connectTo(m_server->address()); }

        // Waits for the request of that number, from 0.
        http_request request(std::size_t number)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [&] { return m_arrived.size() > number; });
            return m_arrived[number].request;
        }

        std::size_t requests()
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            return m_arrived.size();
        }

        void answer(std::size_t number, const std::string& body, unsigned status = 200)
        {
            request(number);
            onLoop([this, number, body, status] { m_arrived[number].exchange->respond({ status, { { "X-Number", std::to_string(number) } }, body }); });
        }

        void waitForGone(std::size_t count)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [&] { return m_gone >= count; });
        }

        void enforceTimeouts(std::chrono::milliseconds later)
        {
            onLoop([this, later] { m_server->enforceTimeouts(std::chrono::steady_clock::now() + later); });
        }

        void closeAfterAnswers()
        {
            onLoop([this] { m_server->closeAfterAnswers(); });
        }

        client_limits limits;

    private:
        void note(http_request request, const std::shared_ptr<http_exchange>& exchange)
        {
            exchange->setDisconnectHandler([this] {
                std::lock_guard<std::mutex> lock(m_mutex);
                ++m_gone;
                m_changed.notify_all();
            });
            std::lock_guard<std::mutex> lock(m_mutex);
            m_arrived.push_back({ std::move(request), exchange });
            m_changed.notify_all();
        }

        void onLoop(const std::function<void()>& work) { m_loop.runAndWait(work); }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<arrived_request> m_arrived;
        std::size_t m_gone = 0;
        context_thread m_loop;
        std::unique_ptr<pipeline_server> m_server;
    };

    std::string get(const std::string& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    }

}

TEST(PipelinedClients, AreAnsweredInTheOrderOfTheirRequests)
{
    edge server;
    auto client = server.connect();
    client.send(get("/0") + get("/1") + get("/2"));
    server.answer(2, "third");
    server.answer(1, "second");
    server.answer(0, "first");
    EXPECT_NE(client.readUntil("first").find("X-Number: 0"), std::string::npos);
    EXPECT_NE(client.readUntil("second").find("X-Number: 1"), std::string::npos);
    EXPECT_NE(client.readUntil("third").find("X-Number: 2"), std::string::npos);
}

TEST(PipelinedClients, MaySendBodiesInChunksAndInPieces)
{
    edge server;
    auto client = server.connect();
    client.send("POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    client.send("c\r\n2\r\nde\r\n0\r\n\r\n" + get("/next"));
    EXPECT_EQ(server.request(0).body, "abcde");
    EXPECT_EQ(server.request(1).target, "/next");
    EXPECT_EQ(fieldValue(server.request(0).fields, "Transfer-Encoding"), "");
    EXPECT_EQ(fieldValue(server.request(0).fields, "Host"), "a.example");
}

TEST(PipelinedClients, KeepTheirConnectionsOwnFieldsToThemselves)
{
    edge server;
    auto client = server.connect();
    client.send("GET /x HTTP/1.1\r\nHost: a.example\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n");
    EXPECT_EQ(fieldValue(server.request(0).fields, "X-Hop"), "");
    EXPECT_EQ(fieldValue(server.request(0).fields, "X-End"), "2");
}

// Each of these has two readings, or none: it reaches nobody, and neither does what
// stands behind it.
TEST(PipelinedClients, CannotSmuggleARequestInAnother)
{
    const std::string hidden = get("/hidden");
    const std::vector<std::string> heads {
        "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
        "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: -1\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length : 4\r\n\r\nabcd",
        "GET /x HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n",
        "GET /x HTTP/1.1\r\n\r\n",
        "GET /x y HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "GET /x HTTP/1.1\nHost: a.example\n\n",
    };
    for (const auto& head : heads) {
        edge server;
        auto client = server.connect();
        client.send(head + hidden);
        auto answer = client.readToEnd();
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << head;
        EXPECT_EQ(server.requests(), 0U) << head;
    }
}

TEST(PipelinedClients, AreToldWhichBoundTheyAreOver)
{
    edge server;
    server.limits.maxHeaderBytes = 200;
    server.limits.maxBodyBytes = 10;
    auto large = server.connect();
    large.send("POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 11\r\n\r\n");
    EXPECT_EQ(large.readToEnd().substr(0, 12), "HTTP/1.1 413");
    auto wordy = server.connect();
    wordy.send("GET /x HTTP/1.1\r\nHost: a.example\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
    EXPECT_EQ(wordy.readToEnd().substr(0, 12), "HTTP/1.1 431");
    auto slow = server.connect();
    slow.send("GET /x HTTP/1.1\r\nHost:");
    auto other = server.connect();
    other.send(get("/other"));
    server.request(0);
    server.enforceTimeouts(server.limits.headerTimeout);
    EXPECT_EQ(slow.readToEnd().substr(0, 12), "HTTP/1.1 408");
}

TEST(PipelinedClients, CancelEverythingByLeaving)
{
    edge server;
    auto client = server.connect();
    client.send(get("/0") + get("/1"));
    server.request(1);
    client.close();
    server.waitForGone(2);
}

TEST(PipelinedClients, AreSentAwayAfterTheirLastAnswer)
{
    edge server;
    auto client = server.connect();
    client.send(get("/0") + get("/1"));
    server.request(1);
    server.closeAfterAnswers();
    server.answer(0, "first");
    EXPECT_EQ(client.readUntil("first").find("Connection: close"), std::string::npos);
    server.answer(1, "second");
    EXPECT_NE(client.readToEnd().find("Connection: close"), std::string::npos);
}

// A node that stops while the first of several requests of one connection is unanswered: the
// later ones' answers could not be sent before its answer, which may take longer than the stop.
TEST(PipelinedClients, AreNotTakenBehindAnUnansweredRequestDuringAStop)
{
    edge server;
    auto client = server.connect();
    client.send(get("/0"));
    server.request(0);
    server.closeAfterAnswers();
    client.send(get("/1"));
    // Another connection shows that the server has had the time to read it.
    auto other = server.connect();
    other.send(get("/2"));
    ASSERT_EQ(server.request(1).target, "/2");
    server.answer(1, "second");
    EXPECT_NE(other.readUntil("second").find("Connection: close"), std::string::npos);
    server.answer(0, "first");
    EXPECT_NE(client.readUntil("first").find("Connection: close"), std::string::npos);
    EXPECT_EQ(client.readToEnd(), "");
    EXPECT_EQ(server.requests(), 2U);
}

TEST(PipelinedClients, MayAskThatTheConnectionBeClosed)
{
    edge server;
    auto client = server.connect();
    client.send("GET /0 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n" + get("/1"));
    server.answer(0, "only");
    EXPECT_NE(client.readToEnd().find("only"), std::string::npos);
    EXPECT_EQ(server.requests(), 1U);
}

// Whatever comes, the server goes on serving.
TEST(PipelinedClients, CannotHarmTheServerByGarbage)
{
    std::mt19937 random(13);
    edge server;
    for (int i = 0; i < 60; ++i) {
        auto client = server.connect();
        auto bytes = get("/x") + get("/y");
        for (int flips = 0; flips < 3; ++flips) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        client.send(bytes);
        client.close();
    }
    auto before = server.requests();
    auto client = server.connect();
    client.send(get("/sound"));
    while (server.request(before).target != "/sound") {
        ++before;
    }
    server.answer(before, "sound");
    EXPECT_NE(client.readUntil("sound").find("HTTP/1.1 200"), std::string::npos);
}

}
