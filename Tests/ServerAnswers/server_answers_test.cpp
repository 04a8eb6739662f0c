#include "RawSocket/raw_socket.h"
#include "backend/instance_answer.h"
#include "backend/instance_client.h"

#include <gtest/gtest.h>

#include <future>

namespace vanillashunt {

namespace {

    constexpr const char* idField = "X-Id";

    answer_metadata metadataOf(const http_response& response)
    {
        answer_metadata metadata;
        metadata.requestId = fieldValue(response.fields, idField);
        metadata.isSealed = !fieldValue(response.fields, "X-Seal").empty();
        metadata.isNotExecuted = !fieldValue(response.fields, "X-Not-Run").empty();
        metadata.isEncoded = !fieldValue(response.fields, "Content-Encoding").empty();
        return metadata;
    }

    // A client and a server whose answers the test sends byte by byte.
    class client_harness {
    public:
        client_harness()
        {
            instance_client_settings settings;
            settings.isAnswerTo = [](const http_response& response, const std::string& id) { return answersRequest(metadataOf(response), id); };
            m_client = std::make_unique<instance_client>(m_loop.context, settings);
        }

        ~client_harness()
        {
            onLoop([this] { m_client.reset(); });
        }

        std::future<instance_result> send(const std::string& id, const std::string& body = {})
        {
            auto result = std::make_shared<std::promise<instance_result>>();
            onLoop([&] {
                lastId = m_client->send(server.address(), id, { body.empty() ? "GET" : "POST", "/x", { { "Host", "a.example" } }, body },
                    [result](instance_result value) { result->set_value(std::move(value)); });
            });
            return result->get_future();
        }

        void cancel()
        {
            onLoop([this] { m_client->cancel(lastId); });
        }

        std::uint64_t connectionsOpened()
        {
            std::uint64_t count = 0;
            onLoop([&] { count = m_client->counts().connectionsOpened; });
            return count;
        }

        raw_listener server;
        std::uint64_t lastId = 0;

    private:
        void onLoop(const std::function<void()>& task) { m_loop.runAndWait(task); }

        context_thread m_loop;
        std::unique_ptr<instance_client> m_client;
    };

    std::string completeAnswer(const std::string& id, const std::string& body, const std::string& extraFields = {})
    {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\n" + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    call_answer classified(instance_result result)
    {
        answer_metadata metadata;
        if (const auto* response = std::get_if<http_response>(&result)) {
            metadata = metadataOf(*response);
        }
        return classifyAnswer(std::move(result), metadata);
    }

    // The answer to a request after which the server sends these bytes and closes or resets the connection.
    call_answer answerTo(const std::string& bytes, bool resets = false)
    {
        client_harness harness;
        auto result = harness.send("r1");
        auto connection = harness.server.accept();
        connection.readUntil("\r\n\r\n");
        connection.send(bytes);
        if (resets) {
            connection.reset();
        } else {
            connection.close();
        }
        return classified(result.get());
    }

}

TEST(ServerAnswers, AreReadCompletelyOnOneConnection)
{
    client_harness harness;
    auto first = harness.send("r1");
    auto connection = harness.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(completeAnswer("r1", "one"));
    EXPECT_EQ(classified(first.get()).body, "one");
    auto second = harness.send("r2");
    connection.readUntil("\r\n\r\n");
    connection.send(completeAnswer("r2", "two"));
    EXPECT_EQ(classified(second.get()).body, "two");
    EXPECT_EQ(harness.connectionsOpened(), 1U);
}

TEST(ServerAnswers, ThatAreTruncatedAreLost)
{
    auto complete = completeAnswer("r1", "body");
    EXPECT_EQ(answerTo(complete.substr(0, complete.size() - 1)).outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nX-Id: r1\r\n").outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("no answer at all\r\n\r\n").outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("").outcome.run, execution::MayHaveRun);
}

TEST(ServerAnswers, WithoutALengthAreCompleteOnlyIfTheConnectionIsClosedCleanly)
{
    const std::string answerWithoutLength = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n\r\nbody";
    EXPECT_EQ(answerTo(answerWithoutLength).body, "body");
    EXPECT_EQ(answerTo(answerWithoutLength, true).outcome.run, execution::MayHaveRun);
}

TEST(ServerAnswers, ThatAreNotAuthenticAreLost)
{
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo(completeAnswer("r1", "body", "Content-Encoding: gzip\r\n")).outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::MayHaveRun);
}

TEST(ServerAnswers, ShowThatARequestHasNotRunOnlyIfTheServerSaysSo)
{
    EXPECT_EQ(answerTo("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::NotRun);
    EXPECT_EQ(answerTo("HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::NotRun);
    auto authentic = answerTo("HTTP/1.1 503 x\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(authentic.outcome.run, execution::Ran);
    EXPECT_EQ(authentic.status, 503U);
}

// A delayed answer to an earlier request arrives where the answer to the next one is expected.
TEST(ServerAnswers, ToAnotherRequestAreSkipped)
{
    client_harness harness;
    auto result = harness.send("r2");
    auto connection = harness.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(completeAnswer("r1", "late") + completeAnswer("r2", "own"));
    EXPECT_EQ(classified(result.get()).body, "own");
    // The connection is not reused.
    auto next = harness.send("r3");
    auto newConnection = harness.server.accept();
    newConnection.readUntil("\r\n\r\n");
    newConnection.send(completeAnswer("r3", "three"));
    EXPECT_EQ(classified(next.get()).body, "three");
}

TEST(ServerAnswers, FollowedByExtraBytesEndTheirConnection)
{
    client_harness harness;
    auto first = harness.send("r1");
    auto connection = harness.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(completeAnswer("r1", "one") + completeAnswer("r1", "again"));
    EXPECT_EQ(classified(first.get()).body, "one");
    auto second = harness.send("r2");
    auto newConnection = harness.server.accept();
    newConnection.readUntil("\r\n\r\n");
    newConnection.send(completeAnswer("r2", "two"));
    EXPECT_EQ(classified(second.get()).body, "two");
}

TEST(ServerAnswers, WithConnectionCloseEndTheirConnection)
{
    client_harness harness;
    auto first = harness.send("r1");
    auto connection = harness.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(completeAnswer("r1", "one", "Connection: close\r\n"));
    EXPECT_EQ(classified(first.get()).body, "one");
    harness.send("r2");
    harness.server.accept().readUntil("\r\n\r\n");
    EXPECT_EQ(harness.connectionsOpened(), 2U);
}

// The rest of a body that the server did not read must not be followed by another request.
TEST(ServerAnswers, BeforeTheBodyIsReadEndTheirConnection)
{
    client_harness harness;
    auto first = harness.send("r1", std::string(std::size_t { 1 } << 25U, 'b'));
    auto connection = harness.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(completeAnswer("r1", "early"));
    EXPECT_EQ(classified(first.get()).body, "early");
    auto second = harness.send("r2");
    harness.server.accept().readUntil("\r\n\r\n");
    EXPECT_EQ(harness.connectionsOpened(), 2U);
}

TEST(ServerAnswers, OfCancelledRequestsAreStoppedByClosingTheConnection)
{
    client_harness harness;
    auto result = harness.send("r1");
    auto connection = harness.server.accept();
    connection.readUntil("\r\n\r\n");
    harness.cancel();
    EXPECT_EQ(connection.readToEnd(), "");
}

TEST(ServerAnswers, OfAnUnreachableServerShowThatTheRequestHasNotRun)
{
    client_harness harness;
    std::string address = harness.server.address();
    {
        client_harness closed;
        address = closed.server.address();
    }
    context_thread loop;
    instance_client client(loop.context, {});
    std::promise<instance_result> result;
    boost::asio::post(loop.context, [&] {
        client.send(address, "r1", { "GET", "/x", {}, "" }, [&](instance_result value) { result.set_value(std::move(value)); });
    });
    EXPECT_EQ(classified(result.get_future().get()).outcome.run, execution::NotRun);
}

}
