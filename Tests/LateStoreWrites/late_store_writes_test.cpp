#include "node/seed_keeper.h"
#include "store/seed_directory.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    // A store in memory whose next write brings no answer, and is made when the test
    // says so, if its condition still holds then.
    class late_store : public metadata_store {
    public:
        void rangePrefix(const std::string& prefix, milliseconds, const range_handler& handler) override
        {
            store_range range;
            range.revision = m_revision;
            for (const auto& [key, entry] : m_entries) {
                if (key.compare(0, prefix.size(), prefix) == 0) {
                    range.entries.push_back(entry);
                }
            }
            handler(range);
        }

        void swap(const std::string& key, std::int64_t expected, const std::string& value, milliseconds, const swap_handler& handler) override
        {
            if (std::exchange(holdsNextWrite, false)) {
                m_held.push_back({ key, value, expected });
                handler(store_failure { true, "no answer came" });
                return;
            }
            handler(write({ key, value, expected }));
        }

        void makeHeldWrites()
        {
            for (const auto& each : std::exchange(m_held, {})) {
                write(each);
            }
        }

        std::string valueOf(const std::string& key) const
        {
            auto found = m_entries.find(key);
            return found == m_entries.end() ? "" : found->second.value;
        }

        std::size_t size() const { return m_entries.size(); }

        bool holdsNextWrite = false;

    private:
        store_swap write(const store_entry& wanted)
        {
            auto& entry = m_entries[wanted.key];
            store_swap result;
            result.revision = m_revision;
            if (entry.modRevision != wanted.modRevision) {
                result.standing.push_back(entry);
                return result;
            }
            entry = { wanted.key, wanted.value, ++m_revision };
            result.succeeded = true;
            result.revision = m_revision;
            return result;
        }

        std::int64_t m_revision = 0;
        std::map<std::string, store_entry> m_entries;
        // With the revision that is expected.
        std::vector<store_entry> m_held;
    };

    // One node that keeps the first seed of its zone.
    class first_keeper {
    public:
        first_keeper(late_store& store, const std::string& address, time_point& now)
            : m_now(now)
            , keeper(store, "bangsar", address, hooks())
        {
        }

        void run(std::chrono::seconds time)
        {
            for (auto end = m_now + time; m_now < end; m_now += milliseconds(250)) {
                seed_duty duty;
                duty.number = 0;
                keeper.tick(duty, m_now);
            }
        }

    private:
        seed_keeper_hooks hooks()
        {
            seed_keeper_hooks result;
            result.seedsRead = [this](const std::vector<std::string>& addresses) { seen = addresses; };
            result.random = [](std::uint64_t bound) { return bound / 2; };
            result.now = [this] { return m_now; };
            return result;
        }

        time_point& m_now;

    public:
        std::vector<std::string> seen;
        seed_keeper keeper;
    };

    const std::string firstKey = seedKey("bangsar", 0);

    // A node that is gone while its write is under way.
    void dieWhileWriting(late_store& store, time_point& now)
    {
        first_keeper dead(store, "192.0.2.1:7002", now);
        store.holdsNextWrite = true;
        dead.run(std::chrono::seconds(1));
    }

}

TEST(LateStoreWrites, AreFoundByTheirWriterAndNotRepeated)
{
    time_point now { std::chrono::hours(1) };
    late_store store;
    first_keeper keeper(store, "192.0.2.1:7002", now);
    store.holdsNextWrite = true;
    keeper.run(std::chrono::seconds(1));
    EXPECT_EQ(store.size(), 0U);
    store.makeHeldWrites();
    keeper.run(std::chrono::seconds(300));
    EXPECT_EQ(store.valueOf(firstKey), "192.0.2.1:7002");
    EXPECT_EQ(keeper.keeper.counts().writes, 1U);
}

// The load: a node dies with a write under way, another one takes its duty, and the
// write is made seconds later.
TEST(LateStoreWrites, ChangeNothingThatWasWrittenMeanwhile)
{
    time_point now { std::chrono::hours(1) };
    late_store store;
    dieWhileWriting(store, now);
    first_keeper next(store, "192.0.2.2:7002", now);
    next.run(std::chrono::seconds(1));
    store.makeHeldWrites();
    next.run(std::chrono::seconds(300));
    EXPECT_EQ(store.valueOf(firstKey), "192.0.2.2:7002");
    EXPECT_EQ(store.size(), 1U);
}

TEST(LateStoreWrites, OfADeadNodeAreReplaced)
{
    time_point now { std::chrono::hours(1) };
    late_store store;
    dieWhileWriting(store, now);
    store.makeHeldWrites();
    first_keeper next(store, "192.0.2.2:7002", now);
    next.run(std::chrono::seconds(300));
    EXPECT_EQ(store.valueOf(firstKey), "192.0.2.2:7002");
    EXPECT_EQ(next.keeper.counts().writes, 1U);
}

}
