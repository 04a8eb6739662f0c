#include "http/socket_address.h"
#include "peer/call_codec.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace vanillashunt {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;

    call_request someRequest(std::uint64_t callId)
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

    call_answer answered(const call_request& request, const std::string& body)
    {
        auto answer = makeCallAnswer(request.callId, request.attempt, verdict::answered());
        answer.status = 200;
        answer.body = body;
        return answer;
    }

    // A peer that reads one whole request and then sends bytes of the test's choice.
    class raw_peer {
    public:
        using answer_hook = std::function<byte_vector(const call_request&)>;

        raw_peer(asio::io_context& context, answer_hook answer)
            : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
            , m_socket(context)
            , m_answer(std::move(answer))
        {
            m_acceptor.async_accept(m_socket, [this](boost::system::error_code) { readHead(); });
        }

        std::string address() const { return toString(m_acceptor.local_endpoint()); }

    private:
        void readHead()
        {
            asio::async_read(m_socket, asio::buffer(m_head), [this](boost::system::error_code error, std::size_t) {
                if (error) {
                    return;
                }
                m_payload.resize(decodeHead(m_head.data())->length);
                asio::async_read(m_socket, asio::buffer(m_payload), [this](boost::system::error_code, std::size_t) { respond(); });
            });
        }

        void respond()
        {
            auto request = decodeRequest({ m_payload.data(), m_payload.size() }, std::chrono::steady_clock::now(), m_received);
            m_bytes = m_answer(*request);
            asio::async_write(m_socket, asio::buffer(m_bytes), [this](boost::system::error_code, std::size_t) { m_socket.close(); });
        }

        tcp::acceptor m_acceptor;
        tcp::socket m_socket;
        answer_hook m_answer;
        frame_history m_received;
        std::array<char, frameHeaderBytes> m_head {};
        byte_vector m_payload;
        byte_vector m_bytes;
    };

    // What a call to a raw peer ends with.
    call_answer callRaw(const raw_peer::answer_hook& hook, peer_client_counts& counts)
    {
        asio::io_context context;
        raw_peer peer(context, hook);
        peer_client client(context, {});
        call_answer result;
        client.start(peer.address(), someRequest(7), [&](call_answer answer) {
            result = std::move(answer);
            context.stop();
        });
        context.run_for(std::chrono::seconds(60));
        counts = client.counts();
        return result;
    }

}

TEST(PeerCalls, AnAnswerComesBackWhole)
{
    asio::io_context context;
    peer_server server(context, "127.0.0.1:0", 1 << 20, [](const call_request& request, const std::shared_ptr<peer_exchange>& exchange) {
        exchange->answer(answered(request, std::string(100000, 'x')));
    });
    peer_client client(context, {});
    call_answer result;
    client.start(server.address(), someRequest(7), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.outcome.run, execution::Ran);
    EXPECT_EQ(result.body.size(), 100000U);
}

TEST(PeerCalls, SomebodyElsesAnswerIsDroppedAndCounted)
{
    peer_client_counts counts;
    auto crossed = [](const call_request& request) {
        auto answer = answered(request, "not yours");
        answer.callId = request.callId + 1;
        frame_history sent;
        return encodeFrame(answer, request.context.requestId, sent);
    };
    auto result = callRaw(crossed, counts);
    EXPECT_EQ(result.outcome.run, execution::MayHaveRun);
    EXPECT_EQ(result.body, "");
    EXPECT_EQ(counts.crossedAnswers, 1U);
}

TEST(PeerCalls, ADamagedAnswerIsDroppedAndCounted)
{
    peer_client_counts counts;
    auto damaged = [](const call_request& request) {
        frame_history sent;
        auto bytes = encodeFrame(answered(request, "late checkout confirmed"), request.context.requestId, sent);
        bytes.back() ^= 1;
        return bytes;
    };
    EXPECT_EQ(callRaw(damaged, counts).outcome.run, execution::MayHaveRun);
    EXPECT_EQ(counts.damagedAnswers, 1U);
}

TEST(PeerCalls, AnAnswerCutShortIsLostAndNeverPartOfOne)
{
    peer_client_counts counts;
    auto cutShort = [](const call_request& request) {
        frame_history sent;
        auto bytes = encodeFrame(answered(request, "late checkout confirmed"), request.context.requestId, sent);
        bytes.resize(bytes.size() - 5);
        return bytes;
    };
    auto result = callRaw(cutShort, counts);
    EXPECT_EQ(result.outcome.run, execution::MayHaveRun);
    EXPECT_EQ(result.outcome.reason, verdict_reason::AnswerLost);
    EXPECT_EQ(result.body, "");
}

TEST(PeerCalls, NobodyThereMeansNotRun)
{
    asio::io_context context;
    // A port that was free a moment ago: nothing listens there.
    auto address = [&] { return toString(tcp::acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)).local_endpoint()); }();
    peer_client client(context, {});
    call_answer result;
    client.start(address, someRequest(7), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.outcome.run, execution::NotRun);
    EXPECT_EQ(result.outcome.reason, verdict_reason::PeerUnreachable);
}

TEST(PeerCalls, GivingUpCancelsAtTheOtherEndAndReusesNothing)
{
    asio::io_context context;
    int cancelled = 0;
    std::vector<std::shared_ptr<peer_exchange>> held;
    peer_server server(context, "127.0.0.1:0", 1 << 20, [&](const call_request& request, const std::shared_ptr<peer_exchange>& exchange) {
        if (request.callId == 8) {
            exchange->answer(answered(request, "own"));
            return;
        }
        held.push_back(exchange);
        exchange->setCancelHandler([&] { ++cancelled; });
    });
    peer_client client(context, {});
    auto first = client.start(server.address(), someRequest(7), [](const call_answer&) { FAIL() << "the call was given up"; });
    while (held.empty()) {
        context.run_one_for(std::chrono::seconds(60));
    }
    client.cancel(first);
    while (cancelled == 0) {
        context.run_one_for(std::chrono::seconds(60));
    }
    held.front()->answer(makeCallAnswer(7, 1, verdict::answered()));
    call_answer result;
    client.start(server.address(), someRequest(8), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.body, "own");
}

TEST(PeerCalls, GarbageOnThePeerPortIsCountedAndHarmsNobody)
{
    asio::io_context context;
    peer_server server(context, "127.0.0.1:0", 1 << 20, [](const call_request& request, const std::shared_ptr<peer_exchange>& exchange) {
        exchange->answer(answered(request, "own"));
    });
    tcp::socket stranger(context);
    stranger.connect(*parseEndpoint(server.address()));
    asio::write(stranger, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: here\r\n\r\n")));
    while (server.damagedFrames() == 0) {
        context.run_one_for(std::chrono::seconds(60));
    }
    peer_client client(context, {});
    call_answer result;
    client.start(server.address(), someRequest(8), [&](call_answer answer) {
        result = std::move(answer);
        context.stop();
    });
    context.run_for(std::chrono::seconds(60));
    EXPECT_EQ(result.body, "own");
}

}
