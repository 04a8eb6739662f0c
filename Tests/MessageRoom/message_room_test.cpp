#include "RawSocket/raw_socket.h"
#include "backend/answer_bounds.h"
#include "backend/instance_answer.h"
#include "backend/instance_client.h"
#include "caller/pipeline_server.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "peer/incoming_frame.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace vanillashunt {

namespace {

    constexpr std::uint64_t mebibyte = 1048576;
    constexpr std::chrono::seconds testTimeout { 60 };

    // Messages hold 16 MiB at most, of which 2 are for small ones.
    std::shared_ptr<byte_budget> makeBudget()
    {
        byte_budget_settings settings;
        settings.totalBytes = 16 * mebibyte;
        return std::make_shared<byte_budget>(settings);
    }

    // Takes all room for large messages, as one that has arrived and is held.
    byte_reservation takeLargeRoom(const std::shared_ptr<byte_budget>& budget)
    {
        byte_reservation room(budget, byte_place::Caller);
        room.complete(14 * mebibyte);
        return room;
    }

    // Takes the room for large messages, and all that small ones could use besides.
    std::vector<byte_reservation> takeAllRoom(const std::shared_ptr<byte_budget>& budget)
    {
        constexpr int messages = 32;
        std::vector<byte_reservation> rooms;
        rooms.reserve(messages + 1);
        rooms.push_back(takeLargeRoom(budget));
        for (int i = 0; i < messages; ++i) {
            rooms.emplace_back(budget, byte_place::Caller);
            rooms.back().complete(byte_budget_settings {}.freeShareBytes);
        }
        return rooms;
    }

    call_request makeRequest(std::size_t bodyBytes)
    {
        call_request request;
        request.callId = 7;
        request.context.requestId = "r";
        request.context.deadline = std::chrono::steady_clock::now() + testTimeout;
        request.service = "threads";
        request.method = "POST";
        request.path = "/";
        request.body = std::string(bodyBytes, 'x');
        return request;
    }

    call_answer makeAnswer(const call_request& request, std::size_t bodyBytes)
    {
        auto answer = makeCallAnswer(request.callId, request.attempt, verdict::answered());
        answer.status = 200;
        answer.body = std::string(bodyBytes, 'y');
        return answer;
    }

    // Two nodes on one event loop, with a budget each.
    struct peer_pair {
        explicit peer_pair(std::size_t answerBytes)
            : server(
                context, "127.0.0.1:0", 64 * mebibyte,
                [this, answerBytes](call_request request, const std::shared_ptr<peer_exchange>& exchange) {
                    received = std::move(request);
                    exchange->answer(makeAnswer(*received, answerBytes));
                },
                serverBudget)
            , client(context, clientSettings())
        {
        }

        peer_client_settings clientSettings() const
        {
            peer_client_settings settings;
            settings.maxBodyBytes = 64 * mebibyte;
            settings.budget = clientBudget;
            return settings;
        }

        // Calls once; the budgets' clocks run ahead while a message waits for room.
        call_answer call(const call_request& request)
        {
            std::optional<call_answer> result;
            client.start(server.address(), request, [&](call_answer answer) { result = std::move(answer); });
            auto begun = std::chrono::steady_clock::now();
            while (!result && std::chrono::steady_clock::now() - begun < testTimeout) {
                context.run_for(std::chrono::milliseconds(5));
                context.restart();
                for (const auto& budget : { serverBudget, clientBudget }) {
                    budget->tick(std::chrono::steady_clock::now() + (budget->waiting() > 0 ? std::chrono::hours(1) : std::chrono::hours(0)));
                }
            }
            return result.value_or(call_answer {});
        }

        boost::asio::io_context context;
        std::shared_ptr<byte_budget> serverBudget = makeBudget();
        std::shared_ptr<byte_budget> clientBudget = makeBudget();
        std::optional<call_request> received;
        peer_server server;
        peer_client client;
    };

    // Sends bytes on a connection until its other side closes it; returns how many were taken.
    std::uint64_t sendUntilClosed(
        raw_socket& connection, const std::function<void()>& sentPiece = [] {})
    {
        const std::string piece = "10000\r\n" + std::string(65536, 'x') + "\r\n";
        std::uint64_t sent = 0;
        try {
            while (sent < 1024 * mebibyte) {
                connection.send(piece);
                sent += piece.size();
                sentPiece();
            }
        } catch (const boost::system::system_error&) {
            // Closed.
        }
        return sent;
    }

    // A client of a server whose answers the test writes; the field X-Seal marks answers that can be passed on.
    struct server_pair {
        server_pair()
        {
            instance_client_settings settings;
            settings.budget = budget;
            settings.isAnswerTo = [](const http_response&, const std::string&) { return true; };
            settings.isUsable = [](unsigned, const http_fields& fields, const std::string&) { return !fieldValue(fields, "X-Seal").empty(); };
            loop.runAndWait([&] { client = std::make_unique<instance_client>(loop.context, settings); });
        }

        ~server_pair()
        {
            loop.runAndWait([&] { client.reset(); });
        }

        std::future<instance_result> send()
        {
            auto result = std::make_shared<std::promise<instance_result>>();
            loop.runAndWait([&] {
                client->send(listener.address(), "r", { "GET", "/x", { { "Host", "a.example" } }, {} }, [result](instance_result value) { result->set_value(std::move(value)); });
            });
            return result->get_future();
        }

        // Answers without an end; returns how many bytes were taken, and the failure.
        std::pair<std::uint64_t, instance_failure> answerWithoutEnd(const std::string& head)
        {
            auto result = send();
            auto connection = listener.accept();
            connection.readUntil("\r\n\r\n");
            connection.send("HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n");
            highest = 0;
            auto taken = sendUntilClosed(connection, [this] { loop.runAndWait([this] { highest = std::max(highest, budget->heldBytes()); }); });
            return { taken, std::get<instance_failure>(result.get()) };
        }

        raw_listener listener;
        std::shared_ptr<byte_budget> budget = makeBudget();
        context_thread loop;
        std::unique_ptr<instance_client> client;
        // The most that messages were seen to hold during the last answer.
        std::uint64_t highest = 0;
    };

}

// Guards against a long body that is changed, or a part behind it that is lost, on its way between nodes.
TEST(MessageRoom, LongBodiesArriveUnchangedBetweenNodes)
{
    peer_pair pair(5 * mebibyte + 3);
    auto request = makeRequest(5 * mebibyte + 1);
    request.fields.push_back({ "X-One", "1" });
    request.permit = ticket { 1, std::chrono::milliseconds(5), 2, 3, true };
    for (int repeat = 0; repeat < 3; ++repeat) {
        auto answer = pair.call(request);
        ASSERT_TRUE(pair.received.has_value());
        EXPECT_TRUE(pair.received->body == request.body);
        EXPECT_EQ(pair.received->fields.size(), 1U);
        ASSERT_TRUE(pair.received->permit.has_value());
        EXPECT_EQ(pair.received->permit->nonce, 2U);
        EXPECT_EQ(answer.outcome.run, execution::Ran);
        EXPECT_TRUE(answer.body == std::string(5 * mebibyte + 3, 'y'));
        pair.received.reset();
    }
    EXPECT_EQ(pair.serverBudget->heldBytes(), 0U);
    EXPECT_EQ(pair.clientBudget->heldBytes(), 0U);
}

// Guards against a call that is said to have run perhaps though its node never received it.
TEST(MessageRoom, ACallWithoutRoomAtItsTargetHasNotRun)
{
    peer_pair pair(3);
    auto taken = takeLargeRoom(pair.serverBudget);
    auto answer = pair.call(makeRequest(12 * mebibyte));
    EXPECT_EQ(answer.outcome.run, execution::NotRun);
    EXPECT_FALSE(pair.received.has_value());
    taken.release();
    EXPECT_EQ(pair.serverBudget->heldBytes(), 0U);
}

// Guards against a call that is refused at once though room becomes free soon.
TEST(MessageRoom, ACallWaitsForRoomAtItsTarget)
{
    peer_pair pair(3);
    auto taken = takeLargeRoom(pair.serverBudget);
    std::optional<call_answer> result;
    pair.client.start(pair.server.address(), makeRequest(12 * mebibyte), [&](call_answer answer) { result = std::move(answer); });
    auto begun = std::chrono::steady_clock::now();
    while (!result && std::chrono::steady_clock::now() - begun < testTimeout) {
        pair.context.run_for(std::chrono::milliseconds(5));
        pair.context.restart();
        if (pair.serverBudget->waiting() > 0) {
            taken.release();
        }
        pair.serverBudget->tick(std::chrono::steady_clock::now());
    }
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->outcome.run, execution::Ran);
    EXPECT_EQ(pair.serverBudget->counts().waits, 1U);
}

// Guards against small calls that are held beyond the budget, and against their refusal without a reason.
TEST(MessageRoom, ASmallCallWithoutRoomAtItsTargetIsRefused)
{
    peer_pair pair(3);
    auto taken = takeAllRoom(pair.serverBudget);
    auto answer = pair.call(makeRequest(1000));
    EXPECT_EQ(answer.outcome.run, execution::NotRun);
    EXPECT_EQ(answer.outcome.reason, verdict_reason::NoMemory);
    EXPECT_FALSE(pair.received.has_value());
    taken.clear();
    EXPECT_EQ(pair.call(makeRequest(1000)).outcome.run, execution::Ran);
}

// Guards against an answer that waits for room for ever, or is said not to have run.
TEST(MessageRoom, AnAnswerWithoutRoomAtItsEntryMayHaveRun)
{
    peer_pair pair(12 * mebibyte);
    auto taken = takeLargeRoom(pair.clientBudget);
    auto answer = pair.call(makeRequest(3));
    EXPECT_EQ(answer.outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answer.outcome.reason, verdict_reason::NoMemory);
}

// Guards against an answer that cannot be used and is received to its end all the same.
TEST(MessageRoom, AnAnswerThatCannotBePassedOnIsCutOffAtItsHead)
{
    server_pair pair;
    auto [taken, failure] = pair.answerWithoutEnd("");
    EXPECT_EQ(failure.cause, instance_failure_cause::Lost);
    // What the sockets of both sides buffer is taken, too.
    EXPECT_LT(taken, 12 * mebibyte);
    EXPECT_EQ(pair.budget->heldBytes(), 0U);
}

// Guards against a server whose answers have no end and are received up to the limit again and again.
TEST(MessageRoom, FurtherAnswersOfAServerWithoutEndAreCutOffEarlier)
{
    server_pair pair;
    auto first = pair.answerWithoutEnd("X-Seal: s\r\n");
    EXPECT_EQ(first.second.cause, instance_failure_cause::AnswerTooLarge);
    EXPECT_GT(first.first, 13 * mebibyte);
    auto second = pair.answerWithoutEnd("X-Seal: s\r\n");
    EXPECT_EQ(second.second.cause, instance_failure_cause::AnswerTooLarge);
    // What the sender got rid of says less: the sockets buffer some megabytes.
    EXPECT_GT(pair.highest, 0U);
    EXPECT_LE(pair.highest, 9 * mebibyte);
    EXPECT_EQ(pair.budget->heldBytes(), 0U);
}

// Guards against a server that is judged by its faulty answers when it sends sound ones, too.
TEST(AnswerBounds, AllowWhatCompleteAnswersHaveHad)
{
    std::chrono::steady_clock::time_point now { std::chrono::hours(1) };
    answer_bounds bounds(64 * mebibyte);
    bounds.completed(20 * mebibyte);
    EXPECT_EQ(bounds.maxUndeclaredBytes(now), 64 * mebibyte);
    bounds.givenUp(mebibyte, now);
    EXPECT_EQ(bounds.maxUndeclaredBytes(now), 64 * mebibyte);
    bounds.givenUp(30 * mebibyte, now);
    EXPECT_EQ(bounds.maxUndeclaredBytes(now), 40 * mebibyte);
    EXPECT_EQ(bounds.maxUndeclaredBytes(now + std::chrono::seconds(30)), 64 * mebibyte);
    bounds.givenUp(30 * mebibyte, now);
    bounds.reset();
    EXPECT_EQ(bounds.maxUndeclaredBytes(now), 64 * mebibyte);
}

// Guards against the command node, whose server's answers and callers' requests are not bounded by the node.
TEST(MessageRoom, BoundsAnswersThatTheHttpClientReceives)
{
    raw_listener listener;
    auto budget = makeBudget();
    context_thread loop;
    http_client_settings settings;
    settings.maxBodyBytes = 64 * mebibyte;
    settings.budget = budget;
    settings.place = byte_place::Server;
    std::unique_ptr<http_client> client;
    std::promise<http_result> promise;
    loop.runAndWait([&] {
        client = std::make_unique<http_client>(loop.context, settings);
        client->send(listener.address(), { "GET", "/x", {}, {} }, testTimeout, [&](http_result result) { promise.set_value(std::move(result)); });
    });
    auto connection = listener.accept();
    connection.readUntil("\r\n\r\n");
    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    EXPECT_LT(sendUntilClosed(connection), 32 * mebibyte);
    auto result = promise.get_future().get();
    ASSERT_TRUE(std::holds_alternative<http_failure>(result));
    EXPECT_TRUE(std::get<http_failure>(result).noMemory);
    loop.runAndWait([&] {
        EXPECT_EQ(budget->heldBytes(), 0U);
        client.reset();
    });
}

// Guards against uploads to the command node that together exceed its memory, or are refused though they fit
// one after the other.
TEST(MessageRoom, LetsUploadsToTheHttpServerFollowEachOther)
{
    constexpr int clients = 4;
    const std::string body(6 * mebibyte, 'x');
    context_thread loop;
    auto budget = makeBudget();
    std::unique_ptr<http_server> server;
    std::uint64_t highest = 0;
    boost::asio::steady_timer timer(loop.context);
    std::function<void()> tick = [&] {
        highest = std::max(highest, budget->heldBytes());
        budget->tick(std::chrono::steady_clock::now());
        timer.expires_after(std::chrono::milliseconds(2));
        timer.async_wait([&](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    };
    loop.runAndWait([&] {
        http_server_limits limits;
        limits.maxBodyBytes = 64 * mebibyte;
        limits.budget = budget;
        server = std::make_unique<http_server>(loop.context, "127.0.0.1:0", limits, [](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
            exchange->respond({ 200, {}, std::to_string(request.body.size()) });
        });
        tick();
    });
    std::vector<std::string> answers(clients);
    std::vector<std::thread> threads;
    threads.reserve(answers.size());
    for (auto& answer : answers) {
        threads.emplace_back([&] {
            auto socket = raw_socket::connectTo(server->address());
            socket.trySend("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            answer = socket.readToEnd();
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    for (const auto& answer : answers) {
        EXPECT_EQ(answer.substr(9, 3), "200");
        EXPECT_NE(answer.find(std::to_string(body.size())), std::string::npos);
    }
    loop.runAndWait([&] {
        timer.cancel();
        EXPECT_LE(highest, budget->totalBytes());
        EXPECT_EQ(budget->heldBytes(), 0U);
        server.reset();
    });
}

namespace {

    constexpr int slowConnections = 200;
    constexpr std::size_t slowBytes = 15000;

    // Waits until the budget counts this many bytes; returns what it counts.
    std::uint64_t waitForHeld(context_thread& loop, const byte_budget& budget, std::uint64_t bytes)
    {
        std::uint64_t held = 0;
        auto begun = std::chrono::steady_clock::now();
        while (held < bytes && std::chrono::steady_clock::now() - begun < testTimeout) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            loop.runAndWait([&] { held = budget.heldBytes(); });
        }
        return held;
    }

    // Waits until nothing is held; returns what is held at last.
    std::uint64_t waitForRelease(context_thread& loop, const byte_budget& budget)
    {
        std::uint64_t held = 0;
        auto begun = std::chrono::steady_clock::now();
        do {
            loop.runAndWait([&] { held = budget.heldBytes(); });
        } while (held > 0 && std::chrono::steady_clock::now() - begun < testTimeout);
        return held;
    }

    // Opens connections that send the beginning of a header, and no more.
    std::vector<raw_socket> beginHeaders(const std::string& address)
    {
        std::vector<raw_socket> result;
        result.reserve(slowConnections);
        for (int i = 0; i < slowConnections; ++i) {
            result.push_back(raw_socket::connectTo(address));
            result.back().send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(slowBytes, 'x'));
        }
        return result;
    }

    // A server of callers on an event loop of its own, with its budget.
    struct caller_port {
        caller_port()
        {
            loop.runAndWait([&] {
                pipeline_server_hooks hooks;
                hooks.limits = [] { return client_limits {}; };
                hooks.request = [this](const http_request&, const std::shared_ptr<http_exchange>& exchange) {
                    if (answerBytes > 0) {
                        exchange->respond({ 200, {}, std::string(answerBytes, 'y') });
                    } else {
                        exchanges.push_back(exchange);
                    }
                };
                hooks.budget = budget;
                server = std::make_unique<pipeline_server>(loop.context, "127.0.0.1:0", hooks);
            });
        }

        ~caller_port()
        {
            loop.runAndWait([&] { server.reset(); });
        }

        std::shared_ptr<byte_budget> budget = makeBudget();
        std::vector<std::shared_ptr<http_exchange>> exchanges;
        // Size of the answers that requests get at once; 0 for none.
        std::size_t answerBytes = 0;
        context_thread loop;
        std::unique_ptr<pipeline_server> server;
    };

}

// Guards against headers that arrive slowly on many connections and are not counted.
TEST(MessageRoom, CountsHeadersThatCallersHaveBegun)
{
    caller_port port;
    {
        auto connections = beginHeaders(port.server->address());
        EXPECT_GE(waitForHeld(port.loop, *port.budget, slowConnections * slowBytes), slowConnections * slowBytes);
    }
    port.loop.runAndWait([&] { port.server.reset(); });
    EXPECT_EQ(port.budget->heldBytes(), 0U);
}

// The same at the ports of operators and of servers that report, and of the command node.
TEST(MessageRoom, CountsHeadersThatClientsOfTheHttpServerHaveBegun)
{
    context_thread loop;
    auto budget = makeBudget();
    std::unique_ptr<http_server> server;
    loop.runAndWait([&] {
        http_server_limits limits;
        limits.budget = budget;
        server = std::make_unique<http_server>(loop.context, "127.0.0.1:0", limits, [](const http_request&, const std::shared_ptr<http_exchange>& exchange) { exchange->respond({ 200, {}, {} }); });
    });
    {
        auto connections = beginHeaders(server->address());
        EXPECT_GE(waitForHeld(loop, *budget, slowConnections * slowBytes), slowConnections * slowBytes);
    }
    loop.runAndWait([&] { server.reset(); });
}

// The same for headers that a server's answers have begun.
TEST(MessageRoom, CountsHeadersThatAServerHasBegun)
{
    server_pair pair;
    std::vector<std::future<instance_result>> results;
    std::vector<raw_socket> connections;
    results.reserve(slowConnections);
    connections.reserve(slowConnections);
    for (int i = 0; i < slowConnections; ++i) {
        results.push_back(pair.send());
        connections.push_back(pair.listener.accept());
        connections.back().readUntil("\r\n\r\n");
        connections.back().send("HTTP/1.1 200 OK\r\nX-Long: " + std::string(slowBytes, 'x'));
    }
    EXPECT_GE(waitForHeld(pair.loop, *pair.budget, slowConnections * slowBytes), slowConnections * slowBytes);
    connections.clear();
    for (auto& result : results) {
        EXPECT_TRUE(std::holds_alternative<instance_failure>(result.get()));
    }
    pair.loop.runAndWait([&] { EXPECT_EQ(pair.budget->heldBytes(), 0U); });
}

// The same for short frames between nodes, which are received in part while a link is narrow.
TEST(MessageRoom, CountsFramesThatOtherNodesHaveBegun)
{
    context_thread loop;
    auto budget = makeBudget();
    incoming_frame frame(frame_kind::Request, 64 * mebibyte, budget, byte_place::PeerRequest);
    frame_history history;
    auto bytes = encodeFrame(makeRequest(40000), std::chrono::steady_clock::now(), history);
    boost::beast::flat_buffer received;
    auto half = bytes.size() / 2;
    received.commit(boost::asio::buffer_copy(received.prepare(half), boost::asio::buffer(bytes.data(), half)));
    EXPECT_EQ(frame.take(received), frame_search::Incomplete);
    EXPECT_EQ(budget->heldBytes(byte_place::PeerRequest), half);
    frame.reset();
    EXPECT_EQ(budget->heldBytes(), 0U);
}

// Guards against requests sent ahead that a full connection reads without counting them.
TEST(MessageRoom, LeavesWhatIsSentBehindAFullConnectionInTheSocket)
{
    constexpr std::size_t maxReadAhead = 8192;
    caller_port port;
    auto connection = raw_socket::connectTo(port.server->address());
    std::string ahead;
    while (ahead.size() < 65536) {
        ahead += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    connection.send(ahead);
    std::size_t paused = 0;
    while (paused == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        port.loop.runAndWait([&] { paused = port.server->pausedConnections(); });
    }
    port.loop.runAndWait([&] { EXPECT_LE(port.server->readAheadBytes(), maxReadAhead); });
}

// Guards against answers that clients do not read, and that are not counted once they are formatted.
TEST(MessageRoom, CountsAnswersThatClientsDoNotRead)
{
    constexpr int clients = 4;
    constexpr int requests = 1500;
    caller_port port;
    port.answerBytes = 16000;
    std::vector<raw_socket> connections;
    std::string ahead;
    for (int i = 0; i < requests; ++i) {
        ahead += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    for (int i = 0; i < clients; ++i) {
        connections.push_back(raw_socket::connectTo(port.server->address()));
        connections.back().send(ahead);
    }
    auto expected = clients * port.answerBytes;
    EXPECT_GE(waitForHeld(port.loop, *port.budget, expected), expected);
    connections.clear();
    port.loop.runAndWait([&] { port.server.reset(); });
    // Cancelled writes release their bytes when their handlers run.
    EXPECT_EQ(waitForRelease(port.loop, *port.budget), 0U);
}

}
