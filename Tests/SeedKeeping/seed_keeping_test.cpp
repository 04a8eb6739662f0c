#include "Harness/stand_in.h"
#include "node/seed_keeper.h"
#include "store/seed_directory.h"
#include "store/store_client.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <random>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;

    constexpr int fleetSize = 20;
    constexpr milliseconds tickPeriod { 250 };

    // The seed keepers of an availability zone in one process, with a simulated clock.
    class keeper_fleet {
    public:
        explicit keeper_fleet(const std::string& storeAddress)
            : m_store(m_context, { storeAddress }, {})
        {
            for (int number = 0; number < fleetSize; ++number) {
                seed_keeper_hooks hooks;
                hooks.seedsRead = [this](const std::vector<std::string>& addresses) { seedAddresses = addresses; };
                hooks.random = [this](std::uint64_t bound) { return m_random() % bound; };
                hooks.now = [this] { return m_now; };
                keepers.push_back(std::make_unique<seed_keeper>(m_store, "bangsar", "192.0.2." + std::to_string(number) + ":7002", hooks));
            }
        }

        void run(milliseconds duration, std::size_t nodesWithDuty, bool alone)
        {
            for (auto end = m_now + duration; m_now < end; m_now += tickPeriod) {
                for (std::size_t number = 0; number < keepers.size(); ++number) {
                    seed_duty duty;
                    duty.number = number < nodesWithDuty ? std::optional<std::size_t>(number) : std::nullopt;
                    duty.alone = alone;
                    keepers[number]->tick(duty, m_now);
                }
                // Wait for all answers before the clock advances.
                while (std::any_of(keepers.begin(), keepers.end(), [](const auto& keeper) { return keeper->calling(); })) {
                    m_context.run_one();
                }
            }
        }

        // Another node keeps the seed.
        void writeSeed(const std::string& address)
        {
            bool isWritten = false;
            m_store.swap(seedKey("bangsar", 0), 0, address, std::chrono::seconds(10), [&](const store_result<store_swap>&) { isWritten = true; });
            while (!isWritten) {
                m_context.run_one();
            }
        }

        std::chrono::steady_clock::time_point now() const { return m_now; }

        seed_keeper_counts total() const
        {
            seed_keeper_counts sum;
            for (const auto& keeper : keepers) {
                sum.reads += keeper->counts().reads;
                sum.writes += keeper->counts().writes;
                sum.failures += keeper->counts().failures;
            }
            return sum;
        }

        std::vector<std::unique_ptr<seed_keeper>> keepers;
        std::vector<std::string> seedAddresses;

    private:
        boost::asio::io_context m_context;
        store_client m_store;
        std::mt19937_64 m_random { 1 };
        std::chrono::steady_clock::time_point m_now { std::chrono::hours(1) };
    };

}

TEST(SeedKeeping, OnlyAFewNodesCallTheStoreAfterTheirStart)
{
    stand_in platform({ "platform" });
    keeper_fleet fleet(platform.address());
    fleet.run(minutes(1), 3, false);
    EXPECT_EQ(fleet.total().writes, 3U);
    auto before = fleet.total().reads;
    fleet.run(minutes(10), 3, false);
    EXPECT_EQ(fleet.seedAddresses.size(), 3U);
    EXPECT_EQ(fleet.total().writes, 3U);
    // Three nodes read the seeds about once a minute each.
    EXPECT_GE(fleet.total().reads - before, 3U * 6);
    EXPECT_LE(fleet.total().reads - before, 3U * 20);
    EXPECT_EQ(fleet.keepers.back()->counts().reads, 1U);
    // Shows that the upper bound is exceeded if every node has the duty.
    before = fleet.total().reads;
    fleet.run(minutes(10), fleetSize, false);
    EXPECT_GT(fleet.total().reads - before, 3U * 20);
}

TEST(SeedKeeping, NodesBackOffFromAStoreThatIsDown)
{
    stand_in platform({ "platform" });
    platform.control(R"({"down":true})");
    keeper_fleet fleet(platform.address());
    fleet.run(minutes(10), 1, true);
    auto calls = fleet.total();
    EXPECT_EQ(calls.failures, calls.reads);
    EXPECT_EQ(calls.writes, 0U);
    // Seven reads until the delay is a minute, then about ten more.
    EXPECT_LE(calls.reads, fleetSize * 30U);
    platform.control(R"({"down":false})");
    fleet.run(minutes(3), 1, true);
    EXPECT_EQ(fleet.total().writes, 1U);
    EXPECT_EQ(fleet.seedAddresses.size(), 1U);
}

// Guards against nodes that start in an outage of the store, and find each other a minute after its end.
TEST(SeedKeeping, NodesThatAreAloneReadTheSeedsSoonAfterAnOutage)
{
    stand_in platform({ "platform" });
    platform.control(R"({"down":true})");
    keeper_fleet fleet(platform.address());
    fleet.run(minutes(10), 1, true);
    platform.control(R"({"down":false})");
    auto before = fleet.total();
    for (auto& keeper : fleet.keepers) {
        keeper->readSoon(fleet.now());
    }
    fleet.run(milliseconds(1250), 1, true);
    auto after = fleet.total();
    EXPECT_EQ(after.failures, before.failures);
    EXPECT_GE(after.reads, before.reads + fleetSize);
    EXPECT_EQ(after.writes, 1U);
}

// Guards against a node that was alone for long and finds others, whose addresses it does not know, late.
TEST(SeedKeeping, NodesThatAreAloneForLongFindNewSeedsWithinSeconds)
{
    stand_in platform({ "platform" });
    keeper_fleet fleet(platform.address());
    fleet.run(minutes(10), 0, true);
    fleet.writeSeed("192.0.2.99:7002");
    for (auto& keeper : fleet.keepers) {
        auto reads = keeper->counts().reads;
        fleet.run(milliseconds(6250), 0, true);
        EXPECT_GT(keeper->counts().reads, reads);
    }
    EXPECT_EQ(fleet.seedAddresses, std::vector<std::string> { "192.0.2.99:7002" });
}

}
