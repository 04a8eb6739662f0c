#include "RawSocket/raw_socket.h"
#include "backend/instance_answer.h"
#include "backend/instance_client.h"

#include <gtest/gtest.h>

#include <future>

namespace vanillashunt {

namespace {

    constexpr const char* idField = "X-Id";

    answer_metadata marksOf(const http_response& response)
    {
        answer_metadata marks;
        marks.requestId = fieldValue(response.fields, idField);
        marks.isSealed = !fieldValue(response.fields, "X-Seal").empty();
        marks.isNotExecuted = !fieldValue(response.fields, "X-Not-Run").empty();
        marks.isEncoded = !fieldValue(response.fields, "Content-Encoding").empty();
        return marks;
    }

    // A client, and a server whose bytes the test decides.
    class exchange {
    public:
        exchange()
        {
            instance_client_settings settings;
            settings.isAnswerTo = [](const http_response& response, const std::string& id) { return answersRequest(marksOf(response), id); };
            m_client = std::make_unique<instance_client>(m_loop.context, settings);
        }

        ~exchange()
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

        std::uint64_t opened()
        {
            std::uint64_t count = 0;
            onLoop([&] { count = m_client->counts().connectionsOpened; });
            return count;
        }

        raw_listener server;
        std::uint64_t lastId = 0;

    private:
        void onLoop(const std::function<void()>& work) { m_loop.runAndWait(work); }

        context_thread m_loop;
        std::unique_ptr<instance_client> m_client;
    };

    std::string wholeAnswer(const std::string& id, const std::string& body, const std::string& more = {})
    {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    call_answer judged(instance_result result)
    {
        answer_metadata marks;
        if (const auto* response = std::get_if<http_response>(&result)) {
            marks = marksOf(*response);
        }
        return classifyAnswer(std::move(result), marks);
    }

    // What comes of one request to which the server sends these bytes and then leaves.
    call_answer answerTo(const std::string& bytes, bool crashes = false)
    {
        exchange world;
        auto result = world.send("r1");
        auto connection = world.server.accept();
        connection.readUntil("\r\n\r\n");
        connection.send(bytes);
        if (crashes) {
            connection.reset();
        } else {
            connection.close();
        }
        return judged(result.get());
    }

}

TEST(ServerAnswers, AreTakenWholeAndOnOneConnection)
{
    exchange world;
    auto first = world.send("r1");
    auto connection = world.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(wholeAnswer("r1", "one"));
    EXPECT_EQ(judged(first.get()).body, "one");
    auto second = world.send("r2");
    connection.readUntil("\r\n\r\n");
    connection.send(wholeAnswer("r2", "two"));
    EXPECT_EQ(judged(second.get()).body, "two");
    EXPECT_EQ(world.opened(), 1U);
}

TEST(ServerAnswers, ThatAreCutShortAreNone)
{
    auto whole = wholeAnswer("r1", "body");
    EXPECT_EQ(answerTo(whole.substr(0, whole.size() - 1)).outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nX-Id: r1\r\n").outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("no answer at all\r\n\r\n").outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("").outcome.run, execution::MayHaveRun);
}

TEST(ServerAnswers, WithoutALengthAreWholeOnlyAtACleanEnd)
{
    const std::string unframed = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n\r\nbody";
    EXPECT_EQ(answerTo(unframed).body, "body");
    EXPECT_EQ(answerTo(unframed, true).outcome.run, execution::MayHaveRun);
}

TEST(ServerAnswers, ThatAreNotTheServersOwnAreNone)
{
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo(wholeAnswer("r1", "body", "Content-Encoding: gzip\r\n")).outcome.run, execution::MayHaveRun);
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::MayHaveRun);
}

TEST(ServerAnswers, SayThatARequestHasNotRunOnlyInTheServersWords)
{
    EXPECT_EQ(answerTo("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::NotRun);
    EXPECT_EQ(answerTo("HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n").outcome.run, execution::NotRun);
    auto own = answerTo("HTTP/1.1 503 x\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(own.outcome.run, execution::Ran);
    EXPECT_EQ(own.status, 503U);
}

// An answer to an earlier request comes late, where the next one is expected.
TEST(ServerAnswers, ToAnotherRequestArePassedOver)
{
    exchange world;
    auto result = world.send("r2");
    auto connection = world.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(wholeAnswer("r1", "late") + wholeAnswer("r2", "own"));
    EXPECT_EQ(judged(result.get()).body, "own");
    // Nothing more goes over such a connection.
    auto next = world.send("r3");
    auto fresh = world.server.accept();
    fresh.readUntil("\r\n\r\n");
    fresh.send(wholeAnswer("r3", "three"));
    EXPECT_EQ(judged(next.get()).body, "three");
}

TEST(ServerAnswers, WithBytesBehindThemEndTheirConnection)
{
    exchange world;
    auto first = world.send("r1");
    auto connection = world.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(wholeAnswer("r1", "one") + wholeAnswer("r1", "again"));
    EXPECT_EQ(judged(first.get()).body, "one");
    auto second = world.send("r2");
    auto fresh = world.server.accept();
    fresh.readUntil("\r\n\r\n");
    fresh.send(wholeAnswer("r2", "two"));
    EXPECT_EQ(judged(second.get()).body, "two");
}

TEST(ServerAnswers, ThatCloseTheConnectionAreHeeded)
{
    exchange world;
    auto first = world.send("r1");
    auto connection = world.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(wholeAnswer("r1", "one", "Connection: close\r\n"));
    EXPECT_EQ(judged(first.get()).body, "one");
    world.send("r2");
    world.server.accept().readUntil("\r\n\r\n");
    EXPECT_EQ(world.opened(), 2U);
}

// The rest of a body that the server did not wait for never meets another request.
TEST(ServerAnswers, BeforeTheBodyIsReadEndTheirConnection)
{
    exchange world;
    auto first = world.send("r1", std::string(std::size_t { 1 } << 25U, 'b'));
    auto connection = world.server.accept();
    connection.readUntil("\r\n\r\n");
    connection.send(wholeAnswer("r1", "early"));
    EXPECT_EQ(judged(first.get()).body, "early");
    auto second = world.send("r2");
    world.server.accept().readUntil("\r\n\r\n");
    EXPECT_EQ(world.opened(), 2U);
}

TEST(ServerAnswers, ThatNobodyWantsAreCancelledByClosing)
{
    exchange world;
    auto result = world.send("r1");
    auto connection = world.server.accept();
    connection.readUntil("\r\n\r\n");
    world.cancel();
    EXPECT_EQ(connection.readToEnd(), "");
}

TEST(ServerAnswers, OfAServerThatIsNotThereCannotHaveRun)
{
    exchange world;
    std::string address = world.server.address();
    {
        exchange gone;
        address = gone.server.address();
    }
    context_thread loop;
    instance_client client(loop.context, {});
    std::promise<instance_result> result;
    boost::asio::post(loop.context, [&] {
        client.send(address, "r1", { "GET", "/x", {}, "" }, [&](instance_result value) { result.set_value(std::move(value)); });
    });
    EXPECT_EQ(judged(result.get_future().get()).outcome.run, execution::NotRun);
}

}
