#include "contract/contract_replica.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace vanillashunt {

namespace {

    constexpr std::size_t bookCount = 4;
    constexpr std::size_t organisationCount = 3;
    constexpr int stepsPerRun = 300;
    constexpr std::uint64_t runs = 40;

    std::string organisationName(std::size_t number)
    {
        return "hotel-" + std::to_string(number);
    }

    // A contract that is written at the revision, and says so by its deadline.
    std::string textOf(const std::string& organisation, std::int64_t revision)
    {
        return "customer = \"" + organisation + "\"\nshare = 0.1\n[[class]]\nname = \"read\"\nservice = \"threads\"\nmethod = \"GET\"\npath = \"/\"\n"
                                                "idempotent = true\nimportance = \"deferrable\"\ndeadline = \""
            + std::to_string(1000 + revision) + "ms\"\ntarget = 0.9\nretries = 1\n";
    }

    // The store's history: each write of a contract, between writes of other things.
    class written_history {
    public:
        void write(const std::string& organisation, std::int64_t revisionsBetween)
        {
            m_revision += 1 + revisionsBetween;
            m_writes[m_revision] = organisation;
        }

        std::int64_t revision() const { return m_revision; }

        // The revision of the organisation's last write up to one; 0 for none.
        std::int64_t lastOf(const std::string& organisation, std::int64_t upTo) const
        {
            std::int64_t last = 0;
            for (const auto& [revision, writer] : m_writes) {
                last = writer == organisation && revision <= upTo ? revision : last;
            }
            return last;
        }

        // What somebody is told who knows all up to "since", as the store stood at "upTo".
        contract_update news(std::int64_t since, std::int64_t upTo) const
        {
            contract_update told;
            told.since = since;
            for (std::size_t number = 0; number < organisationCount; ++number) {
                auto organisation = organisationName(number);
                auto revision = lastOf(organisation, upTo);
                if (revision > since) {
                    told.entries.push_back({ textOf(organisation, revision), revision });
                    told.revision = std::max(told.revision, revision);
                }
            }
            return told;
        }

    private:
        std::int64_t m_revision = 0;
        std::map<std::int64_t, std::string> m_writes;
    };

    // Books that hear of a store's writes in any order: from reads of any age, from
    // watches that begin anywhere, and from each other, late or twice.
    class rumour_run {
    public:
        explicit rumour_run(std::uint64_t seed)
            : m_random(seed)
        {
        }

        void step()
        {
            switch (below(6)) {
            case 0:
                m_store.write(organisationName(below(organisationCount)), static_cast<std::int64_t>(below(4)));
                return;
            case 1:
                m_underWay.push_back(m_store.news(0, static_cast<std::int64_t>(below(static_cast<std::uint64_t>(m_store.revision()) + 1))));
                return;
            case 2:
                addWatched();
                return;
            case 3:
                m_underWay.push_back(anyBook().updateSince(anyBook().revision()));
                return;
            default:
                deliver();
            }
        }

        // Each fetches what it lacks from whoever has more, as after a datagram; one reads the store.
        void settle()
        {
            take(m_books[0], m_store.news(0, m_store.revision()));
            for (std::size_t i = 1; i < bookCount; ++i) {
                take(m_books[i], m_books[i - 1].updateSince(m_books[i].revision()));
            }
        }

        void expectAllKnown() const
        {
            for (const auto& book : m_books) {
                for (std::size_t number = 0; number < organisationCount; ++number) {
                    EXPECT_EQ(revisionOf(book, organisationName(number)), m_store.lastOf(organisationName(number), m_store.revision()));
                }
            }
        }

    private:
        std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }
        contract_replica& anyBook() { return m_books[below(bookCount)]; }

        void addWatched()
        {
            auto since = static_cast<std::int64_t>(below(static_cast<std::uint64_t>(m_store.revision()) + 1));
            m_underWay.push_back(m_store.news(since, m_store.revision()));
        }

        void deliver()
        {
            if (m_underWay.empty()) {
                return;
            }
            // News stays under way, so that it may come again, and much later.
            take(anyBook(), m_underWay[below(m_underWay.size())]);
        }

        static std::int64_t revisionOf(const contract_replica& book, const std::string& organisation)
        {
            auto found = book.contracts()->byOrganisation.find(organisation);
            return found == book.contracts()->byOrganisation.end() ? 0 : found->second.revision;
        }

        void take(contract_replica& book, const contract_update& news)
        {
            auto before = book.contracts();
            bool changed = book.merge(news);
            EXPECT_EQ(changed, before != book.contracts());
            EXPECT_GE(book.revision(), before->revision);
            for (const auto& [organisation, stored] : before->byOrganisation) {
                EXPECT_GE(revisionOf(book, organisation), stored.revision);
            }
            for (const auto& [organisation, stored] : book.contracts()->byOrganisation) {
                EXPECT_EQ(stored.text, textOf(organisation, stored.revision));
                EXPECT_GE(stored.revision, m_store.lastOf(organisation, book.revision())) << "a gap is hidden below revision " << book.revision();
            }
            for (std::size_t number = 0; number < organisationCount; ++number) {
                EXPECT_GE(revisionOf(book, organisationName(number)), m_store.lastOf(organisationName(number), book.revision()));
            }
        }

        std::mt19937_64 m_random;
        written_history m_store;
        contract_replica m_books[bookCount];
        std::vector<contract_update> m_underWay;
    };

}

TEST(ContractBook, NeverGoesBackHidesNoGapAndConverges)
{
    for (std::uint64_t seed = 1; seed <= runs && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        rumour_run run(seed);
        for (int i = 0; i < stepsPerRun; ++i) {
            run.step();
        }
        run.settle();
        run.expectAllKnown();
    }
}

TEST(ContractBook, ARevisionBeyondAGapIsNotClaimed)
{
    contract_replica book;
    EXPECT_TRUE(book.merge({ { { textOf("hotel-1", 3), 3 } }, 0, 3 }));
    EXPECT_TRUE(book.merge({ { { textOf("hotel-2", 9), 9 } }, 6, 9 }));
    EXPECT_EQ(book.revision(), 3);
    EXPECT_TRUE(book.merge({ { { textOf("hotel-1", 5), 5 } }, 3, 9 }));
    EXPECT_EQ(book.revision(), 9);
    EXPECT_EQ(book.contracts()->byOrganisation.at("hotel-1").revision, 5);
}

TEST(ContractBook, AnEntryWithoutARevisionIsNoContract)
{
    contract_replica book;
    EXPECT_TRUE(book.merge({ { { textOf("hotel-1", 0), 0 }, { textOf("hotel-2", 4), 4 } }, 0, 4 }));
    EXPECT_EQ(book.contracts()->byOrganisation.count("hotel-1"), 0U);
}

TEST(ContractBook, AnUnreadableEntryIsCountedOnce)
{
    contract_replica book;
    EXPECT_TRUE(book.merge({ { { "not = a contract", 4 } }, 0, 4 }));
    EXPECT_FALSE(book.merge({ { { "not = a contract", 4 } }, 0, 4 }));
    EXPECT_EQ(book.revision(), 4);
    EXPECT_EQ(book.unreadable(), 1U);
}

}
