#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"
#include "http/json_text.h"
#include "node/replicated_poison_ledger.h"
#include "platform/key_value_store.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds timeout { 5000 };

    // A store client on a thread of its own; each call blocks until its answer arrives.
    class blocking_store {
    public:
        explicit blocking_store(const platform_world& world)
            : m_store(m_loop.context, world.storeAddress(), {})
        {
            m_store.setHooks({ [this](std::int64_t, std::int64_t) { ++m_returned; }, [this](std::size_t) { ++m_unreadable; } });
        }

        store_result<store_range> get(const std::string& key)
        {
            std::promise<store_result<store_range>> answer;
            m_loop.runAndWait([&] { m_store.get(key, timeout, [&](const store_result<store_range>& result) { answer.set_value(result); }); });
            return answer.get_future().get();
        }

        store_result<store_swap> swap(const std::string& key, std::int64_t revision, const std::string& value)
        {
            std::promise<store_result<store_swap>> answer;
            m_loop.runAndWait([&] { m_store.swap(key, revision, value, timeout, [&](const store_result<store_swap>& result) { answer.set_value(result); }); });
            return answer.get_future().get();
        }

        int returned() const { return m_returned; }
        int unreadable() const { return m_unreadable; }

    private:
        std::atomic<int> m_returned { 0 };
        std::atomic<int> m_unreadable { 0 };
        context_thread m_loop;
        key_value_store m_store;
    };

    bool hasFailed(const store_result<store_range>& result) { return std::holds_alternative<store_failure>(result); }

}

TEST(StoreEra, IncreasesWithEachRestore)
{
    const store_era::time_point now { std::chrono::seconds(100) };
    store_era eras;
    EXPECT_EQ(eras.observe(4, now), era_standing::Current);
    EXPECT_EQ(eras.observe(4, now), era_standing::Current);
    EXPECT_EQ(eras.observe(5, now), era_standing::Returned);
    EXPECT_EQ(eras.observe(7, now), era_standing::Returned);
    EXPECT_EQ(eras.observe(7, now), era_standing::Current);
}

// A lower era comes from an answer that was delayed in transit. If the store stays in the lower era,
// it is a different store, and its answers have to be accepted.
TEST(StoreEra, ThatDecreasesIsADelayedAnswerOrAnotherStore)
{
    store_era::time_point now { std::chrono::seconds(100) };
    store_era eras;
    eras.observe(5, now);
    now += std::chrono::seconds(3);
    EXPECT_EQ(eras.observe(4, now), era_standing::Earlier);
    EXPECT_EQ(eras.latest(), 5);
    now += std::chrono::seconds(9);
    EXPECT_EQ(eras.observe(4, now), era_standing::Returned);
    EXPECT_EQ(eras.latest(), 4);
}

// A value is read before the store is restored and written afterwards, when the same revision names
// another node's write. The store accepts the write, so the client has to report that the outcome is
// unknown.
TEST(StoreGoesBack, BetweenAReadAndAWrite)
{
    platform_world world;
    blocking_store store(world);
    blocking_store other(world);
    world.takeCopy();
    ASSERT_TRUE(std::get<store_swap>(store.swap("mine", 0, "first")).succeeded);
    auto read = std::get<store_range>(store.get("mine")).entries.at(0).modRevision;
    world.returnToCopy();
    auto others = std::get<store_swap>(other.swap("mine", 0, "of another"));
    ASSERT_TRUE(others.succeeded);
    ASSERT_EQ(others.revision, read);
    auto written = store.swap("mine", read, "second");
    ASSERT_TRUE(std::holds_alternative<store_failure>(written));
    EXPECT_TRUE(std::get<store_failure>(written).mayHaveWritten);
    EXPECT_EQ(store.returned(), 1);
    EXPECT_EQ(other.returned(), 0);
    // The next read is of the new era, so the outcome of a write after it is known.
    auto again = std::get<store_range>(store.get("mine")).entries.at(0);
    EXPECT_TRUE(std::get<store_swap>(store.swap("mine", again.modRevision, "third")).succeeded);
}

TEST(StoreGoesBack, WithAHeaderThatIsMissingOrUnreadable)
{
    platform_world world;
    blocking_store store(world);
    for (const std::string text : { "", "three", "-1", "4.5", "99999999999999999999", " 7x" }) {
        world.setEraText(text);
        EXPECT_FALSE(hasFailed(store.get("mine"))) << text;
    }
    EXPECT_EQ(store.returned(), 0);
    EXPECT_EQ(store.unreadable(), 1);
    world.setEraText("3");
    EXPECT_FALSE(hasFailed(store.get("mine")));
    world.setEraText("2");
    EXPECT_TRUE(hasFailed(store.get("mine")));
}

// A node writes its records of poison requests again although nothing new happens.
TEST(StoreGoesBack, AndThePoisonLedgerIsWrittenAgain)
{
    constexpr const char* key = "/vanillashunt/poison";
    const auto deadly = fingerprintOf("/deadly", "");
    platform_world world;
    context_thread loop;
    key_value_store store(loop.context, world.storeAddress(), {});
    http_client client(loop.context, {});
    peer_rpc peers(client);
    replicated_poison_ledger_hooks hooks;
    hooks.changed = [] {};
    hooks.randomBelow = [](std::uint64_t bound) { return bound / 2; };
    hooks.wallNow = [] { return std::chrono::system_clock::now(); };
    replicated_poison_ledger ledger(loop.context, store, peers, 1, "a", hooks);
    store.setHooks({ [&](std::int64_t, std::int64_t) { ledger.storeReturned(); }, {} });
    auto storedEnds = [&]() -> std::size_t {
        auto document = parsePoisonDocument(world.valueOf(key));
        return document && !document->records.empty() ? document->records[0].ends.size() : 0;
    };
    world.takeCopy();
    loop.runAndWait([&] {
        ledger.start();
        for (const std::string instance : { "i-1", "i-2", "i-3" }) {
            ledger.serverEnded({ { instance, {} }, { deadly } });
        }
    });
    while (storedEnds() < poisonThreshold) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    world.returnToCopy();
    ASSERT_EQ(storedEnds(), 0U);
    loop.runAndWait([&] { ledger.storeRecovered(); });
    while (storedEnds() < poisonThreshold) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    loop.runAndWait([&] { EXPECT_EQ(ledger.standingOf(deadly), poison_status::Poison); });
    loop.context.stop();
}

// An older version of the routes in the restored store does not replace the current one, and the
// next version takes effect although the store reuses a revision for it. Checked for two restores.
TEST(StoreGoesBack, AndTheRoutesKeepTheirVersion)
{
    platform_world world;
    world.configure(1, "elsewhere");
    routed_node node({ "desk-1", "desk", world.storeAddress(), world.serverAddress(), {} });
    node.report("ready", 1, "desk");
    world.takeCopy();
    world.configure(2, "desk");
    EXPECT_EQ(node.getUntil("200").substr(9, 3), "200");
    for (int version : { 3, 4 }) {
        world.returnToCopy();
        node.waitForLine("VS137");
        EXPECT_EQ(node.get().substr(9, 3), "200");
        world.configure(version, "desk");
        node.waitForLine("VS131 routes changed version=\"" + std::to_string(version));
        EXPECT_EQ(node.get().substr(9, 3), "200");
    }
}

}
