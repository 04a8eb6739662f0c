#include "node/seed_keeper.h"
#include "store/seed_directory.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    // An in-memory store that can delay a write: the call fails without an answer, and the write is
    // applied later, on request of the test, if its precondition still holds.
    class delayed_write_store : public metadata_store {
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
            if (std::exchange(delaysNextWrite, false)) {
                m_delayedWrites.push_back({ key, value, expected });
                handler(store_failure { true, "no answer came" });
                return;
            }
            handler(write({ key, value, expected }));
        }

        void applyDelayedWrites()
        {
            for (const auto& entry : std::exchange(m_delayedWrites, {})) {
                write(entry);
            }
        }

        std::string valueOf(const std::string& key) const
        {
            auto found = m_entries.find(key);
            return found == m_entries.end() ? "" : found->second.value;
        }

        std::size_t size() const { return m_entries.size(); }

        bool delaysNextWrite = false;

    private:
        store_swap write(const store_entry& request)
        {
            auto& entry = m_entries[request.key];
            store_swap result;
            result.revision = m_revision;
            if (entry.modRevision != request.modRevision) {
                result.standing.push_back(entry);
                return result;
            }
            entry = { request.key, request.value, ++m_revision };
            result.succeeded = true;
            result.revision = m_revision;
            return result;
        }

        std::int64_t m_revision = 0;
        std::map<std::string, store_entry> m_entries;
        // Each entry contains the expected revision.
        std::vector<store_entry> m_delayedWrites;
    };

    // A node whose duty is to keep the first seed of its zone.
    class first_seed_keeper {
    public:
        first_seed_keeper(delayed_write_store& store, const std::string& address, time_point& now)
            : m_now(now)
            , keeper(store, "bangsar", address, hooks())
        {
        }

        void run(std::chrono::seconds duration)
        {
            for (auto end = m_now + duration; m_now < end; m_now += milliseconds(250)) {
                seed_duty duty;
                duty.number = 0;
                keeper.tick(duty, m_now);
            }
        }

    private:
        seed_keeper_hooks hooks()
        {
            seed_keeper_hooks result;
            result.seedsRead = [this](const std::vector<std::string>& addresses) { seeds = addresses; };
            result.random = [](std::uint64_t bound) { return bound / 2; };
            result.now = [this] { return m_now; };
            return result;
        }

        time_point& m_now;

    public:
        std::vector<std::string> seeds;
        seed_keeper keeper;
    };

    const std::string firstKey = seedKey("bangsar", 0);

    // Runs a node that terminates while its write is in progress.
    void terminateDuringWrite(delayed_write_store& store, time_point& now)
    {
        first_seed_keeper terminated(store, "192.0.2.1:7002", now);
        store.delaysNextWrite = true;
        terminated.run(std::chrono::seconds(1));
    }

}

TEST(LateStoreWrites, AreDetectedByTheirWriterAndNotRepeated)
{
    time_point now { std::chrono::hours(1) };
    delayed_write_store store;
    first_seed_keeper keeper(store, "192.0.2.1:7002", now);
    store.delaysNextWrite = true;
    keeper.run(std::chrono::seconds(1));
    EXPECT_EQ(store.size(), 0U);
    store.applyDelayedWrites();
    keeper.run(std::chrono::seconds(300));
    EXPECT_EQ(store.valueOf(firstKey), "192.0.2.1:7002");
    EXPECT_EQ(keeper.keeper.counts().writes, 1U);
}

// A node terminates during a write, another node takes over its duty, and the store applies the
// write seconds later.
TEST(LateStoreWrites, DoNotOverwriteANewerWrite)
{
    time_point now { std::chrono::hours(1) };
    delayed_write_store store;
    terminateDuringWrite(store, now);
    first_seed_keeper next(store, "192.0.2.2:7002", now);
    next.run(std::chrono::seconds(1));
    store.applyDelayedWrites();
    next.run(std::chrono::seconds(300));
    EXPECT_EQ(store.valueOf(firstKey), "192.0.2.2:7002");
    EXPECT_EQ(store.size(), 1U);
}

TEST(LateStoreWrites, OfATerminatedNodeAreReplaced)
{
    time_point now { std::chrono::hours(1) };
    delayed_write_store store;
    terminateDuringWrite(store, now);
    store.applyDelayedWrites();
    first_seed_keeper next(store, "192.0.2.2:7002", now);
    next.run(std::chrono::seconds(300));
    EXPECT_EQ(store.valueOf(firstKey), "192.0.2.2:7002");
    EXPECT_EQ(next.keeper.counts().writes, 1U);
}

}
