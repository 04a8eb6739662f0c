#include "BrokenAnswers/broken_server.h"
#include "Harness/contract_texts.h"
#include "Harness/mesh.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    constexpr std::size_t largeBytes = std::size_t { 8 } * 1024 * 1024;
    constexpr std::size_t smallBytes = 100;

    const std::string ok = "HTTP/1.1 200 OK\r\nX-Own: 1\r\n";

    // A node of the command "node" beside a broken server.
    struct node_of_broken_server {
        node_of_broken_server()
        {
            hotel.putContract("hotel-seri", threadsAndDeskContract());
            node = &hotel.add({ "desk-1", "", "cyberjaya", {}, "[limits]\nmax_body = \"64MiB\"\n" });
            request("PUT", node->nodeReady["backend"].asString(), "/backend-server", { { "Content-Type", "application/json" } },
                R"({"service":"desk","address":")" + server.address() + R"(","slots":100})");
            isServing = waitUntil([&] { return post("/desk/reply/sound", smallBytes).status == 200; });
        }

        http_answer post(const std::string& path, std::size_t bodyBytes, const std::string& key = {}, int attempt = 1)
        {
            http_fields fields { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", std::to_string(++requests) }, { "Vanillashunt-Attempt", std::to_string(attempt) } };
            if (!key.empty()) {
                fields["Idempotency-Key"] = key;
            }
            auto result = request("POST", node->caller(), path, fields, std::string(bodyBytes, 'u'));
            const auto* answer = std::get_if<http_answer>(&result);
            return answer ? *answer : http_answer {};
        }

        http_answer answerTo(const broken_answer& answer, std::size_t bodyBytes)
        {
            server.setAnswer(answer);
            return post("/desk/reply/1", bodyBytes);
        }

        broken_server server;
        mesh hotel;
        mesh_server* node = nullptr;
        bool isServing = false;
        int requests = 0;
    };

    void expectLost(const http_answer& answer, const std::string& what)
    {
        EXPECT_EQ(answer.field("Vanillashunt-Verdict"), "may_have_run") << what << ": " << answer.status << ": " << answer.body;
        EXPECT_GE(answer.status, 500U) << what;
        EXPECT_EQ(answer.field("X-Own"), "") << what;
    }

}

// Guards against a client that gets a part of an answer as a whole one, since the connection to the server was
// reset while the request was being written.
TEST(BrokenAnswersAtNodes, WithoutALengthAreLostByAReset)
{
    node_of_broken_server node;
    ASSERT_TRUE(node.isServing);
    for (std::size_t size : { largeBytes, smallBytes }) {
        for (auto time : { answer_time::BeforeBody, answer_time::AfterRequest }) {
            expectLost(node.answerTo({ ok + "\r\na part", connection_end::Reset, time }, size), "a part");
            expectLost(node.answerTo({ ok + "\r\n", connection_end::Reset, time }, size), "header");
        }
    }
    expectLost(node.answerTo({ ok + "\r\na part", connection_end::ResetLater, answer_time::BeforeBody }, largeBytes), "a part, reset later");
    EXPECT_EQ(node.post("/desk/reply/sound", smallBytes).status, 200U);
}

// Guards against a part of an answer that is kept as the result of a write, and given to repeats of it.
TEST(BrokenAnswersAtNodes, AreNotKeptForRepeats)
{
    node_of_broken_server node;
    ASSERT_TRUE(node.isServing);
    node.server.setAnswer({ ok + "\r\na part", connection_end::Reset, answer_time::BeforeBody });
    expectLost(node.post("/desk/reply/1", largeBytes, "key"), "first try");
    expectLost(node.post("/desk/reply/sound", smallBytes, "key", 2), "repeat");
    EXPECT_EQ(node.server.brokenAnswers(), 1U);
}

// Guards against a sound early answer that does not reach the client.
TEST(BrokenAnswersAtNodes, ThatAreWholeAreDelivered)
{
    node_of_broken_server node;
    ASSERT_TRUE(node.isServing);
    for (std::size_t size : { largeBytes, smallBytes }) {
        for (const auto& answer : wholeAnswers(ok)) {
            auto result = node.answerTo(answer, size);
            EXPECT_EQ(result.field("Vanillashunt-Verdict"), "ran") << answer.bytes;
            EXPECT_EQ(result.body, "the whole body") << answer.bytes;
        }
    }
}

// Guards against any first part of an answer that reaches a client framed as a whole one.
TEST(BrokenAnswersAtNodes, CutAtAnyByteAreLost)
{
    node_of_broken_server node;
    ASSERT_TRUE(node.isServing);
    const std::string answer = ok + "Content-Length: 14\r\n\r\nthe whole body";
    for (auto time : { answer_time::BeforeBody, answer_time::AfterRequest }) {
        for (auto end : { connection_end::Closed, connection_end::Reset }) {
            for (std::size_t cut = 0; cut < answer.size(); ++cut) {
                expectLost(node.answerTo({ answer.substr(0, cut), end, time }, time == answer_time::BeforeBody ? largeBytes : smallBytes), answer.substr(0, cut));
            }
        }
    }
}

// Guards against a status that is none, which reaches a client.
TEST(BrokenAnswersAtNodes, WithoutAValidStatusAreLost)
{
    node_of_broken_server node;
    ASSERT_TRUE(node.isServing);
    for (const char* status : { "000", "099", "101", "600", "999" }) {
        for (const char* framing : { "Content-Length: 5\r\n\r\nwrong", "\r\nwrong" }) {
            expectLost(node.answerTo({ "HTTP/1.1 " + std::string(status) + " x\r\nX-Own: 1\r\n" + framing }, smallBytes), status);
        }
    }
}

// Guards against an informational answer that is passed on as the final one.
TEST(BrokenAnswersAtNodes, BehindInformationalOnesAreDelivered)
{
    node_of_broken_server node;
    ASSERT_TRUE(node.isServing);
    auto answer = node.answerTo({ "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n" + ok + "Content-Length: 14\r\n\r\nthe whole body", connection_end::KeptOpen }, smallBytes);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "the whole body");
}

// Guards against a header that cannot be read, of which a line reaches a client, or whose body is delimited wrongly.
TEST(BrokenAnswersAtNodes, WithABlankOrControlByteInAFieldNameAreLost)
{
    node_of_broken_server node;
    ASSERT_TRUE(node.isServing);
    for (const char* name : { "X Own", "X-Own ", " X-Own", "\tX-Own", "X\x01-Own", "X-Own\x7f", "Content-Length ", " Content-Length", "Content\x01-Length" }) {
        expectLost(node.answerTo({ ok + name + ": 3\r\nContent-Length: 5\r\n\r\nwrong" }, smallBytes), name);
        expectLost(node.answerTo({ ok + name + ": 3\r\n\r\nwrong" }, smallBytes), name);
    }
}

}
