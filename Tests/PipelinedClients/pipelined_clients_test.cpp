#include "RawSocket/raw_socket.h"
#include "caller/pipeline_server.h"
#include "http/first_request.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <cstdint>
#include <limits>
#include <mutex>
#include <optional>
#include <random>

namespace vanillashunt {

namespace {

    struct arrived_request {
        http_request request;
        std::shared_ptr<http_exchange> exchange;
    };

    // A server whose requests are answered when the test asks for it.
    class server_harness {
    public:
        server_harness()
        {
            pipeline_server_hooks hooks;
            hooks.limits = [this] { return limits; };
            hooks.request = [this](http_request request, const std::shared_ptr<http_exchange>& exchange) { addRequest(std::move(request), exchange); };
            hooks.connectionFull = [this](std::size_t) { add([this] { ++m_timesFull; }); };
            hooks.connectionLost = [this](const connection_loss& loss) { add([&] { m_losses.push_back(loss); }); };
            m_server = std::make_unique<pipeline_server>(m_loop.context, "127.0.0.1:0", hooks);
        }

        ~server_harness()
        {
            onLoop([this] { m_server.reset(); });
        }

        raw_socket connect() const { return raw_socket::connectTo(m_server->address()); }

        // Waits for the request with this number, counted from 0, and returns it.
        http_request request(std::size_t number)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [&] { return m_arrived.size() > number; });
            return m_arrived[number].request;
        }

        std::size_t requestCount()
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            return m_arrived.size();
        }

        void answer(std::size_t number, const std::string& body, unsigned status = 200)
        {
            request(number);
            onLoop([this, number, body, status] { m_arrived[number].exchange->respond({ status, { { "X-Number", std::to_string(number) } }, body }); });
        }

        void waitForClientGone(std::size_t count)
        {
            constexpr std::chrono::milliseconds checkPeriod { 5 };
            std::unique_lock<std::mutex> lock(m_mutex);
            while (!m_changed.wait_for(lock, checkPeriod, [&] { return m_clientsGone >= count; })) {
                lock.unlock();
                enforceTimeouts({});
                lock.lock();
            }
        }

        // Waits until a connection has become full this many times.
        void waitUntilFull(std::size_t times = 1)
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [&] { return m_timesFull >= times; });
        }

        std::size_t pausedConnections()
        {
            std::size_t result = 0;
            onLoop([&] { result = m_server->pausedConnections(); });
            return result;
        }

        // Waits until nothing is read from a connection.
        void waitUntilPaused()
        {
            while (pausedConnections() == 0) {
                std::this_thread::yield();
            }
        }

        connection_loss waitForLoss()
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [&] { return !m_losses.empty(); });
            return m_losses.front();
        }

        pipeline_server_counts counts()
        {
            pipeline_server_counts result;
            onLoop([&] { result = m_server->counts(); });
            return result;
        }

        void enforceTimeouts(std::chrono::milliseconds elapsed)
        {
            onLoop([this, elapsed] { m_server->enforceTimeouts(std::chrono::steady_clock::now() + elapsed); });
        }

        void closeAfterAnswers()
        {
            onLoop([this] { m_server->closeAfterAnswers(); });
        }

        // What a node does repeatedly while it stops, this long after the present time.
        void stopAccepting(std::chrono::milliseconds elapsed = {})
        {
            onLoop([this, elapsed] { m_server->stopAccepting(std::chrono::steady_clock::now() + elapsed); });
        }

        // Connects before the server stops accepting, and without the server having accepted the connection.
        raw_socket connectBehindTheAcceptor()
        {
            std::optional<raw_socket> client;
            onLoop([&] {
                client = connect();
                m_server->stopAccepting(std::chrono::steady_clock::now());
            });
            return std::move(*client);
        }

        std::size_t inProgress()
        {
            std::size_t result = 0;
            onLoop([&] { result = m_server->inProgress(); });
            return result;
        }

        void waitForConnection()
        {
            std::size_t count = 0;
            while (count == 0) {
                onLoop([&] { count = m_server->connections(); });
            }
        }

        // Answers each request within the handler from now on.
        void answerAtOnce()
        {
            onLoop([this] { m_answersAtOnce = true; });
        }

        // The distance on the stack between the calls of the handler, in bytes.
        std::size_t stackDepthOfHandlers()
        {
            std::size_t result = 0;
            onLoop([&] { result = m_highestFrame - m_lowestFrame; });
            return result;
        }

        client_limits limits;

    private:
        void addRequest(http_request request, const std::shared_ptr<http_exchange>& exchange)
        {
            char local = 0;
            auto frame = reinterpret_cast<std::uintptr_t>(&local);
            m_lowestFrame = std::min(m_lowestFrame, frame);
            m_highestFrame = std::max(m_highestFrame, frame);
            if (m_answersAtOnce) {
                exchange->respond({ 200, {}, request.target + " end\n" });
                return;
            }
            exchange->setDisconnectHandler([this] { add([this] { ++m_clientsGone; }); });
            add([&] { m_arrived.push_back({ std::move(request), exchange }); });
        }

        // Changes what the test waits for.
        void add(const std::function<void()>& change)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            change();
            m_changed.notify_all();
        }

        void onLoop(const std::function<void()>& task) { m_loop.runAndWait(task); }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::vector<arrived_request> m_arrived;
        std::size_t m_clientsGone = 0;
        std::size_t m_timesFull = 0;
        bool m_answersAtOnce = false;
        std::uintptr_t m_lowestFrame = std::numeric_limits<std::uintptr_t>::max();
        std::uintptr_t m_highestFrame = 0;
        std::vector<connection_loss> m_losses;
        context_thread m_loop;
        std::unique_ptr<pipeline_server> m_server;
    };

    std::string get(const std::string& path)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
    }

    std::string post(const std::string& path, const std::string& body)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // As many requests, "/0" and so on.
    std::string gets(std::size_t count)
    {
        std::string requests;
        for (std::size_t number = 0; number < count; ++number) {
            requests += get("/" + std::to_string(number));
        }
        return requests;
    }

    // Requests and answers of one connection, in random sizes.
    struct exchange_plan {
        explicit exchange_plan(std::uint32_t seed)
            : random(seed)
        {
            constexpr std::size_t maxRequests = 300;
            constexpr std::size_t maxBodyBytes = 60000;
            auto count = 1 + random() % maxRequests;
            for (std::size_t number = 0; number < count; ++number) {
                bool hasLargeBody = random() % 16 == 0;
                requests += post("/" + std::to_string(number), std::string(random() % (hasLargeBody ? maxBodyBytes : 8), 'q'));
                bool hasLargeAnswer = random() % 16 == 0;
                answers.push_back(std::string(random() % (hasLargeAnswer ? maxBodyBytes : 8), 'a') + " end " + std::to_string(number) + "\n");
            }
        }

        // Sends the requests in pieces.
        void send(raw_socket& client)
        {
            constexpr std::size_t maxPieceBytes = 30000;
            for (std::size_t sent = 0; sent < requests.size();) {
                auto piece = requests.substr(sent, 1 + random() % maxPieceBytes);
                client.send(piece);
                sent += piece.size();
            }
        }

        std::mt19937 random;
        std::string requests;
        std::vector<std::string> answers;
    };

    // Answers all requests, in random order.
    void answerAll(server_harness& server, const std::vector<std::string>& answers, std::mt19937& random)
    {
        std::vector<std::size_t> unanswered;
        std::size_t arrived = 0;
        for (std::size_t answered = 0; answered < answers.size(); ++answered) {
            if (unanswered.empty()) {
                server.request(arrived);
            }
            for (; arrived < server.requestCount(); ++arrived) {
                unanswered.push_back(arrived);
            }
            std::swap(unanswered[random() % unanswered.size()], unanswered.back());
            server.answer(unanswered.back(), answers[unanswered.back()]);
            unanswered.pop_back();
        }
    }

}

TEST(PipelinedClients, AreAnsweredInTheOrderOfTheirRequests)
{
    server_harness server;
    auto client = server.connect();
    client.send(get("/0") + get("/1") + get("/2"));
    server.answer(2, "third");
    server.answer(1, "second");
    server.answer(0, "first");
    EXPECT_NE(client.readUntil("first").find("X-Number: 0"), std::string::npos);
    EXPECT_NE(client.readUntil("second").find("X-Number: 1"), std::string::npos);
    EXPECT_NE(client.readUntil("third").find("X-Number: 2"), std::string::npos);
}

// Guards against connections that are reset, while their requests run, as soon as no further request is
// accepted and nothing is left to send.
TEST(PipelinedClients, AreAnsweredWhenTheySendMoreThanAConnectionTakes)
{
    constexpr std::size_t count = 200;
    constexpr std::size_t group = 8;
    server_harness server;
    auto client = server.connect();
    client.send(gets(count));
    server.waitUntilFull();
    ASSERT_EQ(server.pausedConnections(), 1U);
    EXPECT_EQ(server.requestCount(), 32U);
    for (std::size_t first = 0; first < count; first += group) {
        for (std::size_t number = first + group; number-- > first;) {
            server.answer(number, "end " + std::to_string(number) + "\n");
        }
    }
    for (std::size_t number = 0; number < count; ++number) {
        auto text = std::to_string(number);
        ASSERT_NE(client.readUntil("end " + text + "\n").find("X-Number: " + text + "\r\n"), std::string::npos);
    }
    EXPECT_EQ(server.counts().abandonedRequests, 0U);
}

// Guards against answers that are lost or swapped when many requests of mixed sizes are sent ahead.
TEST(PipelinedClients, AreAnsweredInOrderAtAnyDepthAndSize)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        server_harness server;
        auto client = server.connect();
        exchange_plan plan(seed);
        std::mt19937 random(seed);
        std::thread sender([&] { plan.send(client); });
        std::thread answerer([&] { answerAll(server, plan.answers, random); });
        std::size_t number = 0;
        for (const auto& answer : plan.answers) {
            auto head = client.readUntil("\r\n\r\n");
            EXPECT_NE(head.find("X-Number: " + std::to_string(number++) + "\r\n"), std::string::npos) << "seed " << seed;
            EXPECT_EQ(client.readBytes(answer.size()), answer) << "seed " << seed;
        }
        sender.join();
        answerer.join();
    }
}

// Guards against a stack that grows with the number of requests that are answered as they are parsed.
TEST(PipelinedClients, AreAnsweredAtOnceWithoutRecursion)
{
    constexpr std::size_t count = 20000;
    constexpr std::size_t maxStackBytes = 1024;
    server_harness server;
    server.answerAtOnce();
    auto client = server.connect();
    std::thread sender([&client] { client.send(gets(count)); });
    for (std::size_t number = 0; number < count; ++number) {
        auto end = "/" + std::to_string(number) + " end\n";
        auto answer = client.readUntil(end);
        ASSERT_EQ(answer.substr(answer.rfind("\r\n\r\n") + 4), end);
    }
    sender.join();
    EXPECT_LT(server.stackDepthOfHandlers(), maxStackBytes);
}

TEST(PipelinedClients, MaySendBodiesInChunksAndInPieces)
{
    server_harness server;
    auto client = server.connect();
    client.send("POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    client.send("c\r\n2\r\nde\r\n0\r\n\r\n" + get("/next"));
    EXPECT_EQ(server.request(0).body, "abcde");
    EXPECT_EQ(server.request(1).target, "/next");
    EXPECT_EQ(fieldValue(server.request(0).fields, "Transfer-Encoding"), "");
    EXPECT_EQ(fieldValue(server.request(0).fields, "Host"), "a.example");
}

TEST(PipelinedClients, HaveTheirHopByHopFieldsRemoved)
{
    server_harness server;
    auto client = server.connect();
    client.send("GET /x HTTP/1.1\r\nHost: a.example\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n");
    EXPECT_EQ(fieldValue(server.request(0).fields, "X-Hop"), "");
    EXPECT_EQ(fieldValue(server.request(0).fields, "X-End"), "2");
}

// Each of these requests is ambiguous or malformed. Neither it nor the bytes after it may be handled as a
// request.
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
        server_harness server;
        auto client = server.connect();
        client.send(head + hidden);
        auto answer = client.readToEnd();
        EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << head;
        EXPECT_EQ(server.requestCount(), 0U) << head;
    }
}

TEST(PipelinedClients, AreToldWhichLimitTheyExceed)
{
    server_harness server;
    server.limits.maxHeaderBytes = 200;
    server.limits.maxBodyBytes = 10;
    auto largeBody = server.connect();
    largeBody.send("POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 11\r\n\r\n");
    EXPECT_EQ(largeBody.readToEnd().substr(0, 12), "HTTP/1.1 413");
    auto begunBody = server.connect();
    begunBody.send("POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 11\r\n\r\n01234");
    EXPECT_EQ(begunBody.readToEnd().substr(0, 12), "HTTP/1.1 413");
    auto largeChunks = server.connect();
    largeChunks.send("POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n5\r\n01234\r\n");
    EXPECT_EQ(largeChunks.readToEnd().substr(0, 12), "HTTP/1.1 413");
    auto endlessChunkHeader = server.connect();
    endlessChunkHeader.send("POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5;x=");
    endlessChunkHeader.trySend(std::string(16UL * 1024 * 1024, 'x'));
    EXPECT_EQ(endlessChunkHeader.readToEnd().substr(0, 12), "HTTP/1.1 431");
    auto largeHeader = server.connect();
    largeHeader.send("GET /x HTTP/1.1\r\nHost: a.example\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
    EXPECT_EQ(largeHeader.readToEnd().substr(0, 12), "HTTP/1.1 431");
    auto slow = server.connect();
    slow.send("GET /x HTTP/1.1\r\nHost:");
    auto other = server.connect();
    other.send(get("/other"));
    server.request(0);
    server.enforceTimeouts(server.limits.headerTimeout);
    EXPECT_EQ(slow.readToEnd().substr(0, 12), "HTTP/1.1 408");
}

// Guards against answers that follow an answer with "Connection: close": a request that does not arrive in
// time behind an unanswered one is rejected once, and not at each check.
TEST(PipelinedClients, AreRejectedOnceForARequestThatIsTooSlow)
{
    server_harness server;
    auto client = server.connect();
    client.send(get("/0") + "GET /1 HTTP/1.1\r\nHost:");
    server.request(0);
    for (int check = 0; check < 3; ++check) {
        server.enforceTimeouts(server.limits.headerTimeout);
    }
    EXPECT_EQ(server.counts().tooSlow, 1U);
    server.answer(0, "first");
    EXPECT_EQ(client.readUntil("first").find("Connection: close"), std::string::npos);
    auto rejection = client.readToEnd();
    EXPECT_EQ(rejection.substr(0, 12), "HTTP/1.1 408");
    EXPECT_EQ(rejection.rfind("HTTP/1.1"), 0U);
}

TEST(PipelinedClients, CancelAllRequestsByClosingTheConnection)
{
    server_harness server;
    auto client = server.connect();
    client.send(get("/0") + get("/1"));
    server.request(1);
    client.close();
    server.waitForClientGone(2);
}

// Guards against a request that goes on for a client that left before the request was taken up.
TEST(PipelinedClients, CancelTheirRequestByLeavingBeforeItIsTakenUp)
{
    context_thread loop;
    std::promise<std::shared_ptr<http_exchange>> arrived;
    std::unique_ptr<pipeline_server> server;
    pipeline_server_hooks hooks;
    hooks.limits = [] { return client_limits(); };
    hooks.request = [&](const http_request&, std::shared_ptr<http_exchange> exchange) { arrived.set_value(std::move(exchange)); };
    loop.runAndWait([&] { server = std::make_unique<pipeline_server>(loop.context, "127.0.0.1:0", hooks); });
    auto client = raw_socket::connectTo(server->address());
    client.send(get("/0"));
    auto exchange = arrived.get_future().get();
    client.close();
    for (std::size_t connections = 1; connections > 0;) {
        loop.runAndWait([&] { connections = server->connections(); });
    }
    bool isCancelled = false;
    loop.runAndWait([&] { exchange->setDisconnectHandler([&] { isCancelled = true; }); });
    EXPECT_TRUE(isCancelled);
    loop.runAndWait([&] { server.reset(); });
}

// Guards against requests that go on for a client that has left a full connection, from which nothing is
// read.
TEST(PipelinedClients, CancelAllRequestsByLeavingAFullConnection)
{
    for (bool isReset : { false, true }) {
        server_harness server;
        auto client = server.connect();
        client.send(gets(40));
        server.waitUntilFull();
        isReset ? client.reset() : client.close();
        server.waitForClientGone(32);
        EXPECT_EQ(server.waitForLoss().cause, connection_loss_cause::ClientClosed);
        EXPECT_EQ(server.requestCount(), 32U);
    }
}

// Guards against requests that go on for a client that has left a connection from which nothing is read,
// since the node stops and enough has been read ahead.
TEST(PipelinedClients, CancelTheirRequestByLeavingDuringAStop)
{
    // More than is read ahead, and less than fits into the receive buffer behind that.
    constexpr std::size_t bytesSentAhead = 120000;
    server_harness server;
    auto client = server.connect();
    client.send(get("/0"));
    server.request(0);
    server.closeAfterAnswers();
    client.send(post("/1", std::string(bytesSentAhead, 'q')));
    server.waitUntilPaused();
    client.close();
    server.waitForClientGone(1);
    EXPECT_EQ(server.requestCount(), 1U);
}

// Guards against a stop that blocks a client in the middle of what it sends, and resets its connection
// before it has read its last answer.
TEST(PipelinedClients, GetTheirLastAnswerDuringAStopWhileTheySend)
{
    // More than the server and both sockets hold.
    constexpr std::size_t bytesSentAhead = 16UL * 1024 * 1024;
    server_harness server;
    auto client = server.connect();
    client.send(get("/0"));
    server.request(0);
    server.closeAfterAnswers();
    std::thread sender([&client] { client.send(post("/1", std::string(bytesSentAhead, 'q'))); });
    server.waitUntilPaused();
    server.answer(0, "last");
    sender.join();
    EXPECT_NE(client.readUntil("last").find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.endsWithoutReset());
    EXPECT_EQ(server.requestCount(), 1U);
}

// Guards against a connection, with its answers and its requests, that is kept for a client that reads no
// answer and sends further requests.
TEST(PipelinedClients, AreDisconnectedWhenTheyReadNoAnswer)
{
    // More than both sockets hold.
    constexpr std::size_t answerBytes = 32UL * 1024 * 1024;
    constexpr std::chrono::seconds sendTimeout { 10 };
    server_harness server;
    auto client = server.connect();
    client.send(get("/0") + get("/1"));
    server.request(1);
    server.answer(0, std::string(answerBytes, 'a'));
    client.send(get("/2"));
    server.request(2);
    server.enforceTimeouts(sendTimeout);
    server.waitForClientGone(2);
    EXPECT_EQ(server.waitForLoss().cause, connection_loss_cause::AnswerNotRead);
}

// Guards against connections that end with requests unanswered and leave no trace for the operator.
TEST(PipelinedClients, AreReportedWhenTheyLeaveWithRequestsUnanswered)
{
    server_harness server;
    auto client = server.connect();
    client.send(get("/0") + get("/1") + get("/2"));
    server.answer(0, "first");
    client.readUntil("first");
    server.request(2);
    client.close();
    auto loss = server.waitForLoss();
    EXPECT_EQ(loss.cause, connection_loss_cause::ClientClosed);
    EXPECT_EQ(loss.unanswered, 2U);
    EXPECT_EQ(server.counts().abandonedRequests, 2U);
}

TEST(PipelinedClients, AreDisconnectedAfterTheirLastAnswer)
{
    server_harness server;
    auto client = server.connect();
    client.send(get("/0") + get("/1"));
    server.request(1);
    server.closeAfterAnswers();
    server.answer(0, "first");
    EXPECT_EQ(client.readUntil("first").find("Connection: close"), std::string::npos);
    server.answer(1, "second");
    EXPECT_NE(client.readToEnd().find("Connection: close"), std::string::npos);
}

// A node stops while the first of several requests of one connection is unanswered. The answers to later
// requests could not be sent before that answer, which may take longer than the stop.
TEST(PipelinedClients, GetNoRequestAcceptedAfterAnUnansweredOneDuringAStop)
{
    server_harness server;
    auto client = server.connect();
    client.send(get("/0"));
    server.request(0);
    server.closeAfterAnswers();
    client.send(get("/1"));
    // An answer on another connection shows that the server has had time to read the request.
    auto other = server.connect();
    other.send(get("/2"));
    ASSERT_EQ(server.request(1).target, "/2");
    server.answer(1, "second");
    EXPECT_NE(other.readUntil("second").find("Connection: close"), std::string::npos);
    server.answer(0, "first");
    EXPECT_NE(client.readUntil("first").find("Connection: close"), std::string::npos);
    EXPECT_EQ(client.readToEnd(), "");
    EXPECT_EQ(server.requestCount(), 2U);
}

TEST(PipelinedClients, MayAskThatTheConnectionBeClosed)
{
    server_harness server;
    auto client = server.connect();
    client.send("GET /0 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n" + get("/1"));
    server.answer(0, "only");
    EXPECT_NE(client.readToEnd().find("only"), std::string::npos);
    EXPECT_EQ(server.requestCount(), 1U);
}

// The server keeps serving after corrupted requests.
TEST(PipelinedClients, CannotDisruptTheServerWithCorruptedRequests)
{
    std::mt19937 random(13);
    server_harness server;
    for (int i = 0; i < 60; ++i) {
        auto client = server.connect();
        auto bytes = get("/x") + get("/y");
        for (int corruption = 0; corruption < 3; ++corruption) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        client.send(bytes);
        client.close();
    }
    auto number = server.requestCount();
    auto client = server.connect();
    client.send(get("/sound"));
    while (server.request(number).target != "/sound") {
        ++number;
    }
    server.answer(number, "sound");
    EXPECT_NE(client.readUntil("sound").find("HTTP/1.1 200"), std::string::npos);
}

// Guards against a stopping server that closes a connection whose client is about to send its first request.
TEST(PipelinedClients, AreAnsweredIfTheyConnectedJustBeforeTheServerStoppedAccepting)
{
    server_harness server;
    auto client = server.connect();
    server.waitForConnection();
    server.stopAccepting();
    EXPECT_EQ(server.inProgress(), 1U);
    client.send(get("/0"));
    server.answer(0, "whole");
    EXPECT_NE(client.readUntil("whole").find("Connection: close"), std::string::npos);
}

// Guards against a stopping server that resets the connections in its backlog.
TEST(PipelinedClients, AreAnsweredIfTheyWaitedInTheBacklogWhenTheServerStoppedAccepting)
{
    server_harness server;
    auto client = server.connectBehindTheAcceptor();
    client.send(get("/0"));
    server.answer(0, "whole");
    EXPECT_NE(client.readUntil("whole").find("Connection: close"), std::string::npos);
}

// Guards against a stop that waits for a connection on which nothing is sent.
TEST(PipelinedClients, DoNotDelayAStopBySendingNothing)
{
    server_harness server;
    auto client = server.connectBehindTheAcceptor();
    EXPECT_EQ(server.inProgress(), 1U);
    server.stopAccepting(first_request::maxWait);
    EXPECT_EQ(server.inProgress(), 0U);
    EXPECT_TRUE(client.endsWithoutReset());
}

// Guards against a stop that does not wait for a request of which a part has arrived.
TEST(PipelinedClients, AreAnsweredIfTheirRequestArrivesInPartsDuringAStop)
{
    server_harness server;
    auto client = server.connect();
    client.send("GET /0 HTTP/1.1\r\n");
    while (server.inProgress() == 0) { }
    server.stopAccepting(first_request::maxWait);
    EXPECT_EQ(server.inProgress(), 1U);
    client.send("Host: a.example\r\n\r\n");
    server.answer(0, "whole");
    EXPECT_NE(client.readUntil("whole").find("Connection: close"), std::string::npos);
}

}
