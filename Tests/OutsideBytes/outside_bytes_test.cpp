#include "backend/backend_announcement.h"
#include "caller/caller_request.h"
#include "caller/context_text.h"
#include "peer/call_codec.h"
#include "store/gateway_json.h"

#include <gtest/gtest.h>

#include <random>

namespace vanillashunt {

namespace {

    constexpr int iterations = 20000;

    // Returns the text with up to three random changes: bytes overwritten, removed or repeated.
    std::string corrupt(std::string text, std::mt19937_64& random)
    {
        auto changes = random() % 4;
        for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
            auto position = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[position] = static_cast<char>(random());
                break;
            case 1:
                text.erase(position, 1 + random() % 8);
                break;
            default:
                text.insert(position, text.substr(0, random() % 16));
            }
        }
        return text;
    }

    std::string_view payloadOf(const byte_vector& frame)
    {
        return std::string_view(frame.data(), frame.size()).substr(frameHeaderBytes);
    }

    call_request sampleRequest()
    {
        call_request request;
        request.callId = 7;
        request.context.requestId = "0123456789abcdef";
        request.context.organisation = "hotel-seri";
        request.context.level = importance::Confirmed;
        request.permit = ticket { 1, std::chrono::milliseconds(2), 3, 4, true };
        request.service = "desk";
        request.method = "POST";
        request.path = "/reply/7";
        request.fields = { { "Content-Type", "text/plain" } };
        request.body = "late checkout";
        return request;
    }

}

TEST(OutsideBytes, FramesRoundTrip)
{
    auto now = std::chrono::steady_clock::now();
    auto request = sampleRequest();
    request.context.deadline = now + std::chrono::milliseconds(1500);
    frame_history sent;
    frame_history received;
    auto bytes = encodeFrame(request, now, sent);
    auto header = decodeHeader(bytes.data());
    ASSERT_TRUE(header);
    auto payload = payloadOf(bytes);
    EXPECT_TRUE(checksumMatches(*header, payload));
    auto read = decodeRequest(payload, now, received);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->permit, request.permit);
    EXPECT_EQ(read->context.deadline, request.context.deadline);
    EXPECT_EQ(read->context.level, importance::Confirmed);
    EXPECT_EQ(read->body, request.body);
    EXPECT_EQ(read->fields.at(0).value, "text/plain");
}

// A node sends calls to the same service repeatedly over a persistent connection, as every
// server of a long call chain does. In one such chain, 1,300 calls per second crossed
// availability zones and caused the largest part of the cost; similar frames must stay short.
TEST(OutsideBytes, RepeatedFramesOfAConnectionAreShortAndRoundTrip)
{
    auto now = std::chrono::steady_clock::now();
    frame_history sent;
    frame_history received;
    for (int i = 0; i < 50; ++i) {
        auto request = sampleRequest();
        request.permit.reset();
        request.context.requestId = "0123456789abcdef." + std::to_string(1000 + i);
        request.path = "/reply/" + std::to_string(i);
        request.fields = { { "Host", "desk.example" }, { "X-Request-Id", request.context.requestId }, { "X-Deadline-Ms", std::to_string(700 - i) } };
        if (i % 7 == 0) {
            // Other requests on the connection have fewer fields or none.
            request.fields.resize(static_cast<std::size_t>(i) % 3);
        }
        request.body.clear();
        auto bytes = encodeFrame(request, now, sent);
        frame_history newConnectionHistory;
        auto firstFrame = encodeFrame(request, now, newConnectionHistory);
        auto read = decodeRequest(payloadOf(bytes), now, received);
        ASSERT_TRUE(read);
        EXPECT_EQ(read->context.requestId, request.context.requestId);
        EXPECT_EQ(read->path, request.path);
        ASSERT_EQ(read->fields.size(), request.fields.size());
        for (std::size_t field = 0; field < request.fields.size(); ++field) {
            EXPECT_EQ(read->fields[field].name, request.fields[field].name);
            EXPECT_EQ(read->fields[field].value, request.fields[field].value);
        }
        // Header, numeric fields, two bytes for each of the 13 strings, and the changed bytes.
        constexpr std::size_t maxRepeatedFrameBytes = 85;
        if (i > 1 && i % 7 > 1) {
            EXPECT_LE(bytes.size(), maxRepeatedFrameBytes);
            EXPECT_GE(firstFrame.size(), bytes.size() + 70);
        }
    }
}

TEST(OutsideBytes, AnswersThatEchoTheRequestIdRoundTrip)
{
    frame_history sent;
    frame_history received;
    for (int i = 0; i < 20; ++i) {
        auto id = "0123456789abcdef." + std::to_string(i);
        auto answer = makeCallAnswer(7, 1, verdict::answered());
        answer.status = 200;
        // An id other than that of the request must be preserved as well.
        auto echoed = i % 3 == 0 ? "fedcba9876543210" : id;
        answer.fields = { { "X-Request-Id", echoed }, { "Content-Type", "text/plain" } };
        answer.cost = { "notices", std::chrono::milliseconds(120) };
        auto bytes = encodeFrame(answer, id, sent);
        auto read = decodeAnswer(payloadOf(bytes), id, received);
        ASSERT_TRUE(read);
        ASSERT_EQ(read->fields.size(), 2U);
        EXPECT_EQ(read->fields[0].value, echoed);
        EXPECT_EQ(read->fields[1].value, "text/plain");
        EXPECT_EQ(read->cost.service, "notices");
        EXPECT_EQ(read->cost.slotTime, std::chrono::milliseconds(120));
    }
}

TEST(OutsideBytes, OnlyRefusalsCarryASuccessorTicket)
{
    frame_history sent;
    frame_history received;
    ticket successor { 8, std::chrono::milliseconds(900), 5, 0, true };
    auto refusal = makeCallAnswer(7, 1, verdict::notRun(verdict_reason::Draining));
    refusal.successor = successor;
    auto read = decodeAnswer(payloadOf(encodeFrame(refusal, "r", sent)), "r", received);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->successor, successor);
    EXPECT_TRUE(read->fields.empty());
    // A field of this name from a backend server is not used as the successor.
    auto answer = makeCallAnswer(7, 1, verdict::answered());
    answer.status = 200;
    answer.fields = { { "Vanillashunt-Successor", toString(successor) } };
    read = decodeAnswer(payloadOf(encodeFrame(answer, "r", sent)), "r", received);
    ASSERT_TRUE(read);
    EXPECT_FALSE(read->successor);
    EXPECT_EQ(read->fields.size(), 1U);
}

TEST(OutsideBytes, AnswersCarryTheUsualTimeAndServersCannotForgeIt)
{
    frame_history sent;
    frame_history received;
    auto answer = makeCallAnswer(7, 1, verdict::answered());
    answer.status = 200;
    answer.fields = { { "Vanillashunt-Usual-Time", "99" } };
    for (auto usual : { std::chrono::microseconds(0), std::chrono::microseconds(120000) }) {
        answer.meanServiceTime = usual;
        auto read = decodeAnswer(payloadOf(encodeFrame(answer, "r", sent)), "r", received);
        ASSERT_TRUE(read);
        EXPECT_EQ(read->meanServiceTime, usual);
        EXPECT_EQ(read->fields.size(), 1U);
    }
}

TEST(OutsideBytes, FramesThatDependOnAMissingFrameAreRejected)
{
    auto now = std::chrono::steady_clock::now();
    frame_history sent;
    encodeFrame(sampleRequest(), now, sent);
    auto second = encodeFrame(sampleRequest(), now, sent);
    frame_history otherConnectionHistory;
    EXPECT_FALSE(decodeRequest(payloadOf(second), now, otherConnectionHistory));
}

TEST(OutsideBytes, DamagedFramesNeverCrashAndNeverPassTheChecksum)
{
    std::mt19937_64 random(1);
    auto now = std::chrono::steady_clock::now();
    frame_history sent;
    auto request = encodeFrame(sampleRequest(), now, sent);
    std::string original(request.begin() + frameHeaderBytes, request.end());
    auto header = *decodeHeader(request.data());
    for (int i = 0; i < iterations; ++i) {
        auto text = corrupt(original, random);
        std::string_view payload = text;
        frame_history received;
        decodeRequest(payload, now, received);
        decodeAnswer(payload, "0123456789abcdef", received);
        EXPECT_EQ(checksumMatches(header, payload), text == original);
    }
}

TEST(OutsideBytes, DamagedTextsNeverCrashAndParsedTicketsRoundTrip)
{
    std::mt19937_64 random(2);
    const std::string permit = toString(ticket { 0xfeed, std::chrono::milliseconds(60000), 0xbeef, 3, true });
    const std::string context = toString(context_text { "0123456789abcdef", 0xabc, 2, true, 3 });
    for (int i = 0; i < iterations; ++i) {
        if (auto read = parseTicket(corrupt(permit, random))) {
            EXPECT_EQ(parseTicket(toString(*read)), read);
        }
        if (auto read = parseContextText(corrupt(context, random))) {
            EXPECT_TRUE(isRequestId(read->requestId));
        }
        readTimeout(corrupt("1500ms", random));
    }
}

TEST(OutsideBytes, DamagedRequestsAreParsedOrRejectedWithAMessage)
{
    std::mt19937_64 random(3);
    for (int i = 0; i < iterations; ++i) {
        http_request request;
        request.method = "GET";
        request.target = corrupt("/threads/history/7?from=2", random);
        for (const char* name : { "Vanillashunt-Customer", "Vanillashunt-Timeout", "Vanillashunt-Attempt", "Idempotency-Key", "Vanillashunt-Ticket" }) {
            request.fields.push_back({ name, corrupt("1500", random) });
        }
        auto result = readCallerRequest(request);
        if (const auto* problem = std::get_if<caller_problem>(&result)) {
            EXPECT_FALSE(problem->message.empty());
        }
    }
}

TEST(OutsideBytes, DamagedJsonIsParsedOrRejectedWithAMessage)
{
    std::mt19937_64 random(4);
    const std::string announcement = R"({"service":"threads","address":"127.0.0.1:9000","slots":120,"connections":800,"cold_start_ms":2000})";
    const std::string entry = R"({"key":"L3ZhbmlsbGFzaHVudA==","value":"YWJj","mod_revision":"17"})";
    for (int i = 0; i < iterations; ++i) {
        auto result = parseAnnouncement(corrupt(announcement, random));
        if (const auto* problem = std::get_if<announcement_problem>(&result)) {
            EXPECT_FALSE(problem->message.empty());
        }
        readEntry(readJson(corrupt(entry, random)));
    }
}

}
