#include "contract/contract_replica.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace vanillashunt {

namespace {

    constexpr std::size_t replicaCount = 4;
    constexpr std::size_t organisationCount = 3;
    constexpr int stepsPerRun = 300;
    constexpr std::uint64_t runCount = 40;

    std::string organisationName(std::size_t number)
    {
        return "hotel-" + std::to_string(number);
    }

    // A contract that was written at the revision. Its deadline encodes the revision.
    std::string contractText(const std::string& organisation, std::int64_t revision)
    {
        return "customer = \"" + organisation + "\"\nshare = 0.1\n[[class]]\nname = \"read\"\nservice = \"threads\"\nmethod = \"GET\"\npath = \"/\"\n"
                                                "idempotent = true\nimportance = \"deferrable\"\ndeadline = \""
            + std::to_string(1000 + revision) + "ms\"\ntarget = 0.9\nretries = 1\n";
    }

    // The store's history: the writes of contracts, with gaps for the writes of other keys.
    class store_history {
    public:
        void write(const std::string& organisation, std::int64_t revisionsBetween)
        {
            m_revision += 1 + revisionsBetween;
            m_writes[m_revision] = organisation;
        }

        std::int64_t revision() const { return m_revision; }

        // The revision of the organisation's last write up to the given one; 0 if there is none.
        std::int64_t lastRevisionOf(const std::string& organisation, std::int64_t upTo) const
        {
            std::int64_t last = 0;
            for (const auto& [revision, written] : m_writes) {
                last = written == organisation && revision <= upTo ? revision : last;
            }
            return last;
        }

        // The update for a receiver that is complete up to "since", from the store as of "upTo".
        contract_update updateSince(std::int64_t since, std::int64_t upTo) const
        {
            contract_update update;
            update.since = since;
            for (std::size_t number = 0; number < organisationCount; ++number) {
                auto organisation = organisationName(number);
                auto revision = lastRevisionOf(organisation, upTo);
                if (revision > since) {
                    update.entries.push_back({ contractText(organisation, revision), revision });
                    update.revision = std::max(update.revision, revision);
                }
            }
            return update;
        }

    private:
        std::int64_t m_revision = 0;
        std::map<std::int64_t, std::string> m_writes;
    };

    // Replicas that receive a store's writes in random order: from reads of any age, from watches
    // that start at any revision, and from each other, delayed or duplicated.
    class replication_run {
    public:
        explicit replication_run(std::uint64_t seed)
            : m_random(seed)
        {
        }

        void step()
        {
            switch (randomBelow(6)) {
            case 0:
                m_store.write(organisationName(randomBelow(organisationCount)), static_cast<std::int64_t>(randomBelow(4)));
                return;
            case 1:
                m_inFlight.push_back(m_store.updateSince(0, static_cast<std::int64_t>(randomBelow(static_cast<std::uint64_t>(m_store.revision()) + 1))));
                return;
            case 2:
                sendWatchUpdate();
                return;
            case 3:
                m_inFlight.push_back(randomReplica().updateSince(randomReplica().revision()));
                return;
            default:
                deliver();
            }
        }

        // One replica reads the store, and each other one fetches what it lacks from the one before,
        // as it does after a gossip datagram with a higher revision.
        void converge()
        {
            mergeInto(m_replicas[0], m_store.updateSince(0, m_store.revision()));
            for (std::size_t i = 1; i < replicaCount; ++i) {
                mergeInto(m_replicas[i], m_replicas[i - 1].updateSince(m_replicas[i].revision()));
            }
        }

        void expectConverged() const
        {
            for (const auto& replica : m_replicas) {
                for (std::size_t number = 0; number < organisationCount; ++number) {
                    EXPECT_EQ(revisionOf(replica, organisationName(number)), m_store.lastRevisionOf(organisationName(number), m_store.revision()));
                }
            }
        }

    private:
        std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }
        contract_replica& randomReplica() { return m_replicas[randomBelow(replicaCount)]; }

        void sendWatchUpdate()
        {
            auto since = static_cast<std::int64_t>(randomBelow(static_cast<std::uint64_t>(m_store.revision()) + 1));
            m_inFlight.push_back(m_store.updateSince(since, m_store.revision()));
        }

        void deliver()
        {
            if (m_inFlight.empty()) {
                return;
            }
            // The update stays in flight, so that it may be delivered again, and much later.
            mergeInto(randomReplica(), m_inFlight[randomBelow(m_inFlight.size())]);
        }

        static std::int64_t revisionOf(const contract_replica& replica, const std::string& organisation)
        {
            auto found = replica.contracts()->byOrganisation.find(organisation);
            return found == replica.contracts()->byOrganisation.end() ? 0 : found->second.revision;
        }

        void mergeInto(contract_replica& replica, const contract_update& update)
        {
            auto before = replica.contracts();
            bool changed = replica.merge(update);
            EXPECT_EQ(changed, before != replica.contracts());
            EXPECT_GE(replica.revision(), before->revision);
            for (const auto& [organisation, stored] : before->byOrganisation) {
                EXPECT_GE(revisionOf(replica, organisation), stored.revision);
            }
            for (const auto& [organisation, stored] : replica.contracts()->byOrganisation) {
                EXPECT_EQ(stored.text, contractText(organisation, stored.revision));
                EXPECT_GE(stored.revision, m_store.lastRevisionOf(organisation, replica.revision())) << "a write is missing at or below revision " << replica.revision();
            }
            for (std::size_t number = 0; number < organisationCount; ++number) {
                EXPECT_GE(revisionOf(replica, organisationName(number)), m_store.lastRevisionOf(organisationName(number), replica.revision()));
            }
        }

        std::mt19937_64 m_random;
        store_history m_store;
        contract_replica m_replicas[replicaCount];
        std::vector<contract_update> m_inFlight;
    };

}

TEST(ContractBook, NeverGoesBackHidesNoGapAndConverges)
{
    for (std::uint64_t seed = 1; seed <= runCount && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        replication_run run(seed);
        for (int i = 0; i < stepsPerRun; ++i) {
            run.step();
        }
        run.converge();
        run.expectConverged();
    }
}

TEST(ContractBook, ARevisionAfterAGapIsNotClaimed)
{
    contract_replica replica;
    EXPECT_TRUE(replica.merge({ { { contractText("hotel-1", 3), 3 } }, 0, 3 }));
    EXPECT_TRUE(replica.merge({ { { contractText("hotel-2", 9), 9 } }, 6, 9 }));
    EXPECT_EQ(replica.revision(), 3);
    EXPECT_TRUE(replica.merge({ { { contractText("hotel-1", 5), 5 } }, 3, 9 }));
    EXPECT_EQ(replica.revision(), 9);
    EXPECT_EQ(replica.contracts()->byOrganisation.at("hotel-1").revision, 5);
}

TEST(ContractBook, AnEntryWithoutARevisionIsIgnored)
{
    contract_replica replica;
    EXPECT_TRUE(replica.merge({ { { contractText("hotel-1", 0), 0 }, { contractText("hotel-2", 4), 4 } }, 0, 4 }));
    EXPECT_EQ(replica.contracts()->byOrganisation.count("hotel-1"), 0U);
}

TEST(ContractBook, AnInvalidEntryIsCountedOnce)
{
    contract_replica replica;
    EXPECT_TRUE(replica.merge({ { { "not = a contract", 4 } }, 0, 4 }));
    EXPECT_FALSE(replica.merge({ { { "not = a contract", 4 } }, 0, 4 }));
    EXPECT_EQ(replica.revision(), 4);
    EXPECT_EQ(replica.unreadable(), 1U);
}

}
