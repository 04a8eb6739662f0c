#include "RawSocket/raw_socket.h"
#include "platform/key_value_store.h"

#include <gtest/gtest.h>

#include <future>

namespace vanillashunt {

namespace {

    constexpr std::chrono::seconds longest { 20 };

    // A client, and a store whose answers the test decides byte by byte.
    class store_world {
    public:
        store_world()
            : m_store(std::make_unique<key_value_store>(m_loop.context, m_listener.address(), http_client_settings {}))
        {
        }

        ~store_world()
        {
            onLoop([this] { m_store.reset(); });
        }

        std::future<store_result<store_range>> get()
        {
            return begin<store_range>([](key_value_store& store, auto handler) { store.get("op/config", longest, handler); });
        }

        std::future<store_result<store_range>> range()
        {
            return begin<store_range>([](key_value_store& store, auto handler) { store.rangePrefix("own/", longest, handler); });
        }

        std::future<store_result<store_swap>> swap()
        {
            return begin<store_swap>([](key_value_store& store, auto handler) { store.swap("own/a", 7, "bytes", longest, handler); });
        }

        std::future<store_result<store_changes>> wait()
        {
            return begin<store_changes>([](key_value_store& store, auto handler) { store.waitForChanges("own/", 41, std::chrono::milliseconds(100), handler); });
        }

        // Takes one call and answers it; returns what was asked.
        std::string answer(unsigned status, const std::string& body)
        {
            if (!m_connection) {
                m_connection = std::make_unique<raw_socket>(m_listener.accept());
            }
            auto asked = m_connection->readUntil("\r\n\r\n");
            m_connection->send("HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            return asked;
        }

        // Takes one call and breaks off.
        void loseAnswer()
        {
            auto connection = m_listener.accept();
            connection.readUntil("\r\n\r\n");
            connection.close();
        }

    private:
        template <typename Answer, typename Call>
        std::future<store_result<Answer>> begin(Call call)
        {
            auto result = std::make_shared<std::promise<store_result<Answer>>>();
            onLoop([&] {
                call(*m_store, [result](const store_result<Answer>& value) { result->set_value(value); });
            });
            return result->get_future();
        }

        void onLoop(const std::function<void()>& work) { m_loop.runAndWait(work); }

        raw_listener m_listener;
        std::unique_ptr<raw_socket> m_connection;
        context_thread m_loop;
        std::unique_ptr<key_value_store> m_store;
    };

    template <typename Answer>
    bool failed(std::future<store_result<Answer>>& result)
    {
        return std::holds_alternative<store_failure>(result.get());
    }

}

TEST(KeyValueStore, ReadsAKeyAndTellsThatThereIsNone)
{
    store_world world;
    auto found = world.get();
    EXPECT_NE(world.answer(200, R"({"key":"op/config","value":"Ynl0ZXM=","revision":9,"store_revision":12})").find("GET /kv-key?key=op/config "), std::string::npos);
    auto range = std::get<store_range>(found.get());
    ASSERT_EQ(range.entries.size(), 1U);
    EXPECT_EQ(range.entries[0].value, "bytes");
    EXPECT_EQ(range.entries[0].modRevision, 9);
    EXPECT_EQ(range.revision, 12);
    auto none = world.get();
    world.answer(404, R"({"store_revision":13})");
    auto empty = std::get<store_range>(none.get());
    EXPECT_TRUE(empty.entries.empty());
    EXPECT_EQ(empty.revision, 13);
}

TEST(KeyValueStore, ReadsPageByPage)
{
    store_world world;
    auto result = world.range();
    world.answer(200, R"({"items":[{"key":"own/a","value":"YQ==","revision":1}],"more_pages":true,"store_revision":5})");
    EXPECT_NE(world.answer(200, R"({"items":[{"key":"own/b","value":"Yg==","revision":2}],"more_pages":false,"store_revision":8})").find("after=own/a"), std::string::npos);
    auto range = std::get<store_range>(result.get());
    EXPECT_EQ(range.entries.size(), 2U);
    // What changed between the pages is seen again by a wait from the first.
    EXPECT_EQ(range.revision, 5);
}

TEST(KeyValueStore, TellsARaceThatWasLost)
{
    store_world world;
    auto won = world.swap();
    world.answer(200, R"({"revision":15})");
    EXPECT_TRUE(std::get<store_swap>(won.get()).succeeded);
    auto lost = world.swap();
    world.answer(412, R"({"items":[{"key":"own/a","value":"YQ==","revision":14}]})");
    auto swap = std::get<store_swap>(lost.get());
    EXPECT_FALSE(swap.succeeded);
    ASSERT_EQ(swap.standing.size(), 1U);
    EXPECT_EQ(swap.standing[0].modRevision, 14);
}

TEST(KeyValueStore, SaysThatAChangeWithoutAnAnswerMayHaveBeenMade)
{
    store_world world;
    auto result = world.swap();
    world.loseAnswer();
    auto failure = std::get<store_failure>(result.get());
    EXPECT_TRUE(failure.mayHaveWritten);
}

TEST(KeyValueStore, WaitsForChangesAndPassesOverWhatWasRemoved)
{
    store_world world;
    auto result = world.wait();
    EXPECT_NE(world.answer(200, R"({"events":[{"key":"own/a","value":"YQ==","revision":42},{"key":"own/b","revision":43,"tombstone":true}],"store_revision":43})").find("after=41&wait_ms=100"), std::string::npos);
    auto changes = std::get<store_changes>(result.get());
    ASSERT_EQ(changes.written.size(), 1U);
    EXPECT_EQ(changes.revision, 43);
    EXPECT_FALSE(changes.historyIsGone);
}

TEST(KeyValueStore, TellsThatTheHistoryIsGone)
{
    store_world world;
    auto result = world.wait();
    world.answer(410, "");
    EXPECT_TRUE(std::get<store_changes>(result.get()).historyIsGone);
}

TEST(KeyValueStore, TakesNothingFromAStoreThatRefusesOrAnswersRubbish)
{
    store_world world;
    for (unsigned status : { 429U, 500U, 503U }) {
        auto result = world.get();
        world.answer(status, "");
        EXPECT_TRUE(failed(result)) << status;
    }
    auto rubbish = world.range();
    world.answer(200, R"(["no object"])");
    EXPECT_TRUE(failed(rubbish));
    auto types = world.get();
    world.answer(200, R"({"key":"op/config","value":"Ynl0ZXM=","revision":"many","store_revision":12})");
    EXPECT_TRUE(failed(types));
}

}
