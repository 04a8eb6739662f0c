#include "BrokenAnswers/broken_server.h"
#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    constexpr std::size_t largeBytes = std::size_t { 8 } * 1024 * 1024;
    constexpr std::size_t smallBytes = 100;
    constexpr std::uint32_t slots = 139;

    const std::string ok = "HTTP/1.1 200 OK\r\nVanillashunt-Server-Seal: seal\r\nVanillashunt-Request-Id: {id}\r\n";

    // Paths under /x/ may be repeated, those under /y/ may not.
    const std::string configuration = R"({"version":"r1","resources":[
        {"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","service":"desk","timeout_s":30,"target_latency_s":1,"priority":0,"max_attempts":2}},
        {"type":"routes","metadata":{"name":"two"},"spec":{"host":"a.example","prefix":"/y/","kind":"non_idempotent","service":"desk","timeout_s":30,"target_latency_s":1,"priority":0,"max_attempts":2}},
        {"type":"services","metadata":{"name":"desk"},"spec":{}},
        {"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":5,"idle_timeout_s":30}}]})";

    // What a client received.
    struct client_answer {
        std::string status;
        std::string head;
        std::string body;
    };

    // A node where requests enter, and the node beside a broken server.
    struct route_to_broken_server {
        route_to_broken_server()
        {
            world.putConfiguration(configuration);
            target = std::make_unique<routed_node>(plan("desk-1", "desk", {}));
            target->report("ready", 1, "desk", "i-1", slots);
            entry = std::make_unique<routed_node>(plan("front-1", "front", { target->port("peer") }));
            waitForSound();
        }

        routed_node_plan plan(const std::string& name, const std::string& service, const std::vector<std::string>& join) const
        {
            routed_node_plan result { name, service, world.storeAddress(), server.address(), join };
            result.furtherSettings = "[limits]\nmax_body = \"64MiB\"\n";
            return result;
        }

        void waitForSound() const
        {
            while (entry->get("/x/sound").substr(9, 3) != "200") {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        }

        client_answer post(const std::string& path, std::size_t bodyBytes)
        {
            auto client = raw_socket::connectTo(entry->port("caller"));
            client.send("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: p" + std::to_string(++requests)
                + "\r\nVanillashunt-Deadline-Ms: 20000\r\nConnection: close\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'u'));
            auto text = client.readToEnd();
            auto headEnd = text.find("\r\n\r\n");
            return { text.substr(9, 3), text.substr(0, headEnd), text.substr(headEnd + 4) };
        }

        client_answer answerTo(const broken_answer& answer, const std::string& path, std::size_t bodyBytes)
        {
            server.setAnswer(answer);
            return post(path, bodyBytes);
        }

        platform_world world;
        broken_server server;
        std::unique_ptr<routed_node> target;
        std::unique_ptr<routed_node> entry;
        int requests = 0;
    };

    // 502 says that the request may have run; a 503 would say that it has not.
    void expectLost(const client_answer& answer, const std::string& what)
    {
        EXPECT_EQ(answer.status, "502") << what << ": " << answer.head << ": " << answer.body;
        EXPECT_EQ(answer.head.find("Vanillashunt-Server-Seal"), std::string::npos) << what;
    }

}

// Guards against a client that gets a part of an answer as a whole one, since the connection to the server was
// reset while the request was being written.
TEST(BrokenAnswersOnRoutes, WithoutALengthAreLostByAReset)
{
    route_to_broken_server route;
    for (const char* path : { "/x/1", "/y/1" }) {
        for (std::size_t size : { largeBytes, smallBytes }) {
            for (auto time : { answer_time::BeforeBody, answer_time::AfterRequest }) {
                for (const char* body : { "a part", "" }) {
                    expectLost(route.answerTo({ ok + "\r\n" + body, connection_end::Reset, time }, path, size), path);
                }
            }
        }
        expectLost(route.answerTo({ ok + "\r\na part", connection_end::ResetLater, answer_time::BeforeBody }, path, largeBytes), path);
    }
    route.waitForSound();
}

// Guards against a sound early answer that does not reach the client.
TEST(BrokenAnswersOnRoutes, ThatAreWholeAreDelivered)
{
    route_to_broken_server route;
    for (std::size_t size : { largeBytes, smallBytes }) {
        for (const auto& answer : wholeAnswers(ok)) {
            auto result = route.answerTo(answer, "/y/1", size);
            EXPECT_EQ(result.status, "200") << answer.bytes;
            EXPECT_EQ(result.body, "the whole body") << answer.bytes;
            EXPECT_NE(result.head.find("Content-Length: 14"), std::string::npos);
        }
    }
}

// Guards against any first part of an answer that reaches a client framed as a whole one.
TEST(BrokenAnswersOnRoutes, CutAtAnyByteAreLost)
{
    route_to_broken_server route;
    const std::string answer = ok + "Content-Length: 14\r\n\r\nthe whole body";
    for (auto time : { answer_time::BeforeBody, answer_time::AfterRequest }) {
        for (auto end : { connection_end::Closed, connection_end::Reset }) {
            for (std::size_t cut = 0; cut < answer.size(); ++cut) {
                expectLost(route.answerTo({ answer.substr(0, cut), end, time }, "/y/1", time == answer_time::BeforeBody ? largeBytes : smallBytes), answer.substr(0, cut));
            }
        }
    }
}

// Guards against a server that gets no more requests because of what an answer announced of which only a part arrived.
TEST(BrokenAnswersOnRoutes, DoNotSpeakForTheirServer)
{
    route_to_broken_server route;
    const std::string notices = "Server-Limit: 0.01\r\nServer-Leaving: 1\r\n";
    expectLost(route.answerTo({ ok + notices + "\r\na part", connection_end::Reset, answer_time::BeforeBody }, "/y/1", largeBytes), "notices");
    expectLost(route.answerTo({ ok + notices + "Content-Length: 9\r\n\r\na part", connection_end::Reset, answer_time::BeforeBody }, "/y/1", largeBytes), "notices");
    EXPECT_EQ(route.entry->get("/x/sound").substr(9, 3), "200");
    EXPECT_EQ(route.entry->get("/x/sound").substr(9, 3), "200");
}

// Guards against a status that is none, which reaches a client, or for which the request waits until its deadline.
TEST(BrokenAnswersOnRoutes, WithoutAValidStatusAreLost)
{
    route_to_broken_server route;
    const std::string fields = "Vanillashunt-Server-Seal: seal\r\nVanillashunt-Request-Id: {id}\r\n";
    for (const char* status : { "000", "099", "101", "600", "999" }) {
        const auto line = "HTTP/1.1 " + std::string(status) + " x\r\n";
        for (const char* framing : { "Content-Length: 5\r\n\r\nwrong", "\r\nwrong" }) {
            expectLost(route.answerTo({ line + fields + framing }, "/y/1", smallBytes), status);
            expectLost(route.answerTo({ line + framing }, "/y/1", smallBytes), status);
        }
        expectLost(route.answerTo({ line + "Content-Length: 0\r\n\r\n", connection_end::KeptOpen }, "/y/1", smallBytes), status);
    }
}

// Guards against a header that cannot be read, of which a line reaches a client, or whose body is delimited wrongly.
TEST(BrokenAnswersOnRoutes, WithABlankOrControlByteInAFieldNameAreLost)
{
    route_to_broken_server route;
    const std::string first = ok + "X-First: 1\r\n";
    for (const char* name : { "X Own", "X-Own ", " X-Own", "\tX-Own", "X\x01-Own", "X-Own\x7f", "Content-Length ", " Content-Length", "Content\x01-Length" }) {
        expectLost(route.answerTo({ first + name + ": 3\r\nContent-Length: 5\r\n\r\nwrong" }, "/y/1", smallBytes), name);
        expectLost(route.answerTo({ first + name + ": 3\r\n\r\nwrong" }, "/y/1", smallBytes), name);
    }
}

}
