#include "RawSocket/raw_socket.h"
#include "http/socket_address.h"
#include "peer/call_codec.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace vanillashunt {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    call_request makeRequest(std::uint64_t callId)
    {
        call_request request;
        request.callId = callId;
        request.context.requestId = "r";
        request.context.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        request.service = "threads";
        request.method = "GET";
        request.path = "/";
        return request;
    }

    call_answer makeAnswer(const call_request& request, const std::string& body)
    {
        auto answer = makeCallAnswer(request.callId, request.attempt, verdict::answered());
        answer.status = 200;
        answer.body = body;
        return answer;
    }

    // A peer that reads one complete request and sends the bytes that the test returns for it.
    class raw_peer {
    public:
        using answer_builder = std::function<byte_vector(const call_request&)>;

        raw_peer(asio::io_context& context, answer_builder answer)
            : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , m_socket(context)
            , m_answer(std::move(answer))
        {
            m_acceptor.async_accept(m_socket, [this](boost::system::error_code) { readHeader(); });
        }

        std::string address() const { return toString(m_acceptor.local_endpoint()); }

    private:
        void readHeader()
        {
            asio::async_read(m_socket, asio::buffer(m_header), [this](boost::system::error_code error, std::size_t) {
                if (error) {
                    return;
                }
                m_payload.resize(decodeHeader(m_header.data())->length);
                asio::async_read(m_socket, asio::buffer(m_payload), [this](boost::system::error_code, std::size_t) { respond(); });
            });
        }

        void respond()
        {
            auto request = decodeRequest({ m_payload.data(), m_payload.size() }, std::chrono::steady_clock::now(), m_receivedFrames);
            m_bytes = m_answer(*request);
            asio::async_write(m_socket, asio::buffer(m_bytes), [this](boost::system::error_code, std::size_t) { m_socket.close(); });
        }

        tcp::acceptor m_acceptor;
        tcp::socket m_socket;
        answer_builder m_answer;
        frame_history m_receivedFrames;
        std::array<char, frameHeaderBytes> m_header {};
        byte_vector m_payload;
        byte_vector m_bytes;
    };

    // Sends a call to a raw_peer and returns the answer that the client reports.
    call_answer callRawPeer(const raw_peer::answer_builder& buildAnswer, peer_client_counts& counts)
    {
        asio::io_context context;
        raw_peer peer(context, buildAnswer);
        peer_client client(context, {});
        call_answer result;
        client.start(peer.address(), makeRequest(7), [&](call_answer answer) {
            result = std::move(answer);
            context.stop();
        });
        context.run_for(std::chrono::seconds(60));
        counts = client.counts();
        return result;
    }

}

TEST(PeerCalls, AnswerIsReceivedCompletely)
{
    asio::io_context context;
    peer_server server(context, "127.0.0.1:0", 1 << 20, [](const call_request& request, const std::shared_ptr<peer_exchange>& exchange) {
        exchange->answer(makeAnswer(request, std::string(100000, 'x')));
    });
    peer_client client(context, {});
    call_answer result;
    client.start(server.address(), makeRequest(7), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.outcome.run, execution::Ran);
    EXPECT_EQ(result.body.size(), 100000U);
}

TEST(PeerCalls, AnswerToAnotherCallIsDroppedAndCounted)
{
    peer_client_counts counts;
    auto mismatched = [](const call_request& request) {
        auto answer = makeAnswer(request, "not yours");
        answer.callId = request.callId + 1;
        frame_history sent;
        return encodeFrame(answer, request.context.requestId, sent);
    };
    auto result = callRawPeer(mismatched, counts);
    EXPECT_EQ(result.outcome.run, execution::MayHaveRun);
    EXPECT_EQ(result.body, "");
    EXPECT_EQ(counts.crossedAnswers, 1U);
}

TEST(PeerCalls, DamagedAnswerIsDroppedAndCounted)
{
    peer_client_counts counts;
    auto damaged = [](const call_request& request) {
        frame_history sent;
        auto bytes = encodeFrame(makeAnswer(request, "late checkout confirmed"), request.context.requestId, sent);
        bytes.back() ^= 1;
        return bytes;
    };
    EXPECT_EQ(callRawPeer(damaged, counts).outcome.run, execution::MayHaveRun);
    EXPECT_EQ(counts.damagedAnswers, 1U);
}

TEST(PeerCalls, TruncatedAnswerIsReportedAsLost)
{
    peer_client_counts counts;
    auto truncated = [](const call_request& request) {
        frame_history sent;
        auto bytes = encodeFrame(makeAnswer(request, "late checkout confirmed"), request.context.requestId, sent);
        bytes.resize(bytes.size() - 5);
        return bytes;
    };
    auto result = callRawPeer(truncated, counts);
    EXPECT_EQ(result.outcome.run, execution::MayHaveRun);
    EXPECT_EQ(result.outcome.reason, verdict_reason::AnswerLost);
    EXPECT_EQ(result.body, "");
}

// Guards against an answer without a valid status that a node passes on for another one.
TEST(PeerCalls, AnAnswerWithoutAValidStatusIsDamaged)
{
    for (std::uint32_t status : { 0U, 99U, 100U, 101U, 199U, 600U, 999U }) {
        peer_client_counts counts;
        auto withStatus = [status](const call_request& request) {
            auto answer = makeAnswer(request, "an answer");
            answer.status = status;
            frame_history sent;
            return encodeFrame(answer, request.context.requestId, sent);
        };
        EXPECT_EQ(callRawPeer(withStatus, counts).outcome.run, execution::MayHaveRun) << status;
        EXPECT_EQ(counts.damagedAnswers, 1U) << status;
    }
}

// Guards against a part of an answer that is taken for the whole, since the write of the request took the reset.
TEST(PeerCalls, AnAnswerCutAtAnyByteIsLost)
{
    constexpr std::size_t largeBytes = std::size_t { 16 } * 1024 * 1024;
    const message_body large(std::string(largeBytes, 'u'));
    frame_history sent;
    auto frame = encodeFrame(makeAnswer(makeRequest(7), "late checkout confirmed"), "r", sent);
    const std::string whole(frame.begin(), frame.end());
    context_thread loop;
    std::unique_ptr<peer_client> client;
    loop.runAndWait([&] { client = std::make_unique<peer_client>(loop.context, peer_client_settings {}); });
    for (bool isLarge : { false, true }) {
        for (bool resets : { false, true }) {
            for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
                raw_listener peer;
                std::promise<call_answer> result;
                loop.runAndWait([&] {
                    auto request = makeRequest(7);
                    request.body = isLarge ? large : message_body();
                    client->start(peer.address(), request, [&](call_answer answer) { result.set_value(std::move(answer)); });
                });
                auto connection = peer.accept();
                auto head = connection.readBytes(frameHeaderBytes);
                if (!isLarge) {
                    connection.readBytes(decodeHeader(head.data())->length);
                }
                connection.send(whole.substr(0, cut));
                if (resets) {
                    connection.reset();
                } else {
                    connection.endSending();
                    connection.readToEnd();
                }
                auto answer = result.get_future().get();
                ASSERT_EQ(answer.outcome.run == execution::Ran, cut == whole.size()) << cut << ", reset: " << resets << ", large: " << isLarge;
                ASSERT_EQ(answer.body, cut == whole.size() ? "late checkout confirmed" : "");
                // A peer runs nothing of which it has not received the whole frame.
                ASSERT_TRUE(isLarge || answer.outcome.run != execution::NotRun) << cut;
            }
        }
    }
    loop.runAndWait([&] { client.reset(); });
}

TEST(PeerCalls, UnreachablePeerMeansNotRun)
{
    asio::io_context context;
    // The port was free a moment ago, so nothing listens on it.
    auto address = [&] { return toString(tcp::acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)).local_endpoint()); }();
    peer_client client(context, {});
    call_answer result;
    client.start(address, makeRequest(7), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.outcome.run, execution::NotRun);
    EXPECT_EQ(result.outcome.reason, verdict_reason::PeerUnreachable);
}

TEST(PeerCalls, CancelReachesThePeerAndItsConnectionIsNotReused)
{
    asio::io_context context;
    int cancelled = 0;
    std::vector<std::shared_ptr<peer_exchange>> pendingExchanges;
    peer_server server(context, "127.0.0.1:0", 1 << 20, [&](const call_request& request, const std::shared_ptr<peer_exchange>& exchange) {
        if (request.callId == 8) {
            exchange->answer(makeAnswer(request, "own"));
            return;
        }
        pendingExchanges.push_back(exchange);
        exchange->setCancelHandler([&] { ++cancelled; });
    });
    peer_client client(context, {});
    auto first = client.start(server.address(), makeRequest(7), [](const call_answer&) { FAIL() << "the handler of a cancelled call was called"; });
    while (pendingExchanges.empty()) {
        context.run_one_for(std::chrono::seconds(60));
    }
    client.cancel(first);
    while (cancelled == 0) {
        context.run_one_for(std::chrono::seconds(60));
    }
    pendingExchanges.front()->answer(makeCallAnswer(7, 1, verdict::answered()));
    call_answer result;
    client.start(server.address(), makeRequest(8), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.body, "own");
}

// Guards against a call that goes on for a peer that left before the call was taken up.
TEST(PeerCalls, CancelIsReportedWhenTheCallIsTakenUpLater)
{
    asio::io_context context;
    std::shared_ptr<peer_exchange> arrived;
    peer_server server(context, "127.0.0.1:0", 1 << 20, [&](const call_request&, std::shared_ptr<peer_exchange> exchange) { arrived = std::move(exchange); });
    peer_client client(context, {});
    auto id = client.start(server.address(), makeRequest(7), [](const call_answer&) {});
    while (!arrived) {
        context.run_one();
    }
    client.cancel(id);
    while (server.inProgress() > 0) {
        context.run_one();
    }
    bool isCancelled = false;
    arrived->setCancelHandler([&] { isCancelled = true; });
    EXPECT_TRUE(isCancelled);
}

// Guards against bytes without bound from a peer that does not read the answer to its last call.
TEST(PeerCalls, BytesSentWhileAnAnswerIsUnreadAreBounded)
{
    // More than both sockets hold.
    constexpr std::size_t bytes = 32UL * 1024 * 1024;
    constexpr std::size_t maxBodyBytes = 1 << 20;
    context_thread loop;
    std::unique_ptr<peer_server> server;
    loop.runAndWait([&] {
        server = std::make_unique<peer_server>(loop.context, "127.0.0.1:0", maxBodyBytes, [&](const call_request& request, const std::shared_ptr<peer_exchange>& exchange) {
            exchange->answer(makeAnswer(request, std::string(bytes, 'a')));
        });
    });
    auto peer = raw_socket::connectTo(server->address());
    frame_history sent;
    auto frame = encodeFrame(makeRequest(7), std::chrono::steady_clock::now(), sent);
    peer.send({ frame.data(), frame.size() });
    EXPECT_EQ(peer.readBytes(frameHeaderBytes).size(), frameHeaderBytes);
    EXPECT_THROW(peer.send(std::string(bytes, 'q')), boost::system::system_error);
    loop.runAndWait([&] { EXPECT_EQ(server->damagedFrames(), 1U); });
    loop.runAndWait([&] { server.reset(); });
}

TEST(PeerCalls, InvalidBytesAreCountedAndAffectNoOtherConnection)
{
    asio::io_context context;
    peer_server server(context, "127.0.0.1:0", 1 << 20, [](const call_request& request, const std::shared_ptr<peer_exchange>& exchange) {
        exchange->answer(makeAnswer(request, "own"));
    });
    tcp::socket otherClient(context);
    otherClient.connect(*parseEndpoint(server.address()));
    asio::write(otherClient, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: here\r\n\r\n")));
    while (server.damagedFrames() == 0) {
        context.run_one_for(std::chrono::seconds(60));
    }
    peer_client client(context, {});
    call_answer result;
    client.start(server.address(), makeRequest(8), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.body, "own");
}

// Guards against a client or a server that forges what a node relays of a server, and against a
// notice that is lost on its way or reaches a server or a client as a field.
TEST(PeerCalls, CarryWhatAServerAnnounced)
{
    auto now = std::chrono::steady_clock::now();
    const http_field forged { "Vanillashunt-Server-Notice", "1;2;3;4;1;" };
    const relayed_notice told { 9, { 7.1, true }, 8, 7, std::chrono::milliseconds(250) };
    for (bool isForged : { false, true }) {
        for (bool isTold : { false, true }) {
            frame_history out;
            frame_history in;
            auto request = makeRequest(1);
            request.fields = { { "Host", "a.example" } };
            call_answer answer = makeAnswer(request, "own");
            answer.fields = { { "X", "y" } };
            answer.meanServiceTime = std::chrono::microseconds(isForged ? 5 : 0);
            if (isForged) {
                request.fields.push_back(forged);
                answer.fields.push_back(forged);
            }
            if (isTold) {
                request.notice = told;
                answer.notice = told;
            }
            auto requestFrame = encodeFrame(request, now, out);
            auto readRequest = decodeRequest({ requestFrame.data() + frameHeaderBytes, requestFrame.size() - frameHeaderBytes }, now, in);
            ASSERT_TRUE(readRequest);
            EXPECT_EQ(readRequest->fields.size(), request.fields.size());
            ASSERT_EQ(readRequest->notice.has_value(), isTold);
            frame_history answerOut;
            frame_history answerIn;
            auto answerFrame = encodeFrame(answer, "r", answerOut);
            auto readAnswer = decodeAnswer({ answerFrame.data() + frameHeaderBytes, answerFrame.size() - frameHeaderBytes }, "r", answerIn);
            ASSERT_TRUE(readAnswer);
            EXPECT_EQ(readAnswer->fields.size(), answer.fields.size());
            EXPECT_EQ(readAnswer->meanServiceTime, answer.meanServiceTime);
            ASSERT_EQ(readAnswer->notice.has_value(), isTold);
            if (isTold) {
                EXPECT_EQ(readRequest->notice->notice.rateLimit, 7.1);
                EXPECT_TRUE(readAnswer->notice->notice.isLeaving);
            }
        }
    }
}

}
