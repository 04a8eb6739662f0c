#include "node/poison_document.h"

#include "http/json_text.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace vanillashunt {

namespace {

    using wall_time = poison_ledger::wall_time;

    const wall_time now { std::chrono::hours(24 * 365) };
    const auto deadly = fingerprintOf("/deadly", "");
    const auto innocent = fingerprintOf("/innocent", "");

    // Records the end of `count` servers that were running the content.
    void endServers(poison_ledger& ledger, request_fingerprint content, std::uint64_t first, std::uint64_t count)
    {
        for (auto start = first; start < first + count; ++start) {
            ledger.serverEnded(start, { content }, now);
        }
    }

    bool isPoison(const poison_ledger& ledger, request_fingerprint content, wall_time at)
    {
        return ledger.statusOf(content, at) == poison_status::Poison;
    }

    poison_ledger ledgerOf(const std::vector<poison_record>& records)
    {
        poison_ledger ledger;
        ledger.merge(records, now);
        return ledger;
    }

    std::string textOf(const std::vector<poison_record>& records, std::int64_t version)
    {
        return writeJson(toJson(poison_document { version, records }));
    }

    // Returns the ledgers of several nodes after random ends of servers, partly merged with each other
    // in a random order.
    std::vector<poison_ledger> randomlyMergedLedgers()
    {
        constexpr std::size_t nodes = 3;
        std::vector<poison_ledger> ledgers(nodes);
        auto ends = *rc::gen::inRange(0, 8);
        for (int end = 0; end < ends; ++end) {
            auto content = *rc::gen::element(deadly, innocent);
            ledgers[*rc::gen::inRange<std::size_t>(0, nodes)].serverEnded(*rc::gen::inRange<std::uint64_t>(1, 6), { content }, now);
        }
        if (*rc::gen::arbitrary<bool>()) {
            ledgers[0].served(innocent);
        }
        auto steps = *rc::gen::inRange(0, 12);
        for (int step = 0; step < steps; ++step) {
            auto from = *rc::gen::inRange<std::size_t>(0, nodes);
            ledgers[*rc::gen::inRange<std::size_t>(0, nodes)].merge(ledgers[from].document(1, now), now);
        }
        return ledgers;
    }

}

TEST(PoisonLedger, MarksAContentAsPoisonAtTheThirdServer)
{
    poison_ledger ledger;
    EXPECT_EQ(ledger.statusOf(deadly, now), poison_status::Harmless);
    endServers(ledger, deadly, 1, 1);
    EXPECT_EQ(ledger.statusOf(deadly, now), poison_status::Suspect);
    endServers(ledger, deadly, 1, poisonThreshold - 1);
    EXPECT_EQ(ledger.statusOf(deadly, now), poison_status::NearlyPoison);
    EXPECT_FALSE(isPoison(ledger, deadly, now));
    // A start that is already recorded does not count again.
    ledger.serverEnded(1, { deadly }, now);
    EXPECT_FALSE(isPoison(ledger, deadly, now));
    ledger.serverEnded(poisonThreshold, { deadly, innocent }, now);
    EXPECT_TRUE(isPoison(ledger, deadly, now));
    EXPECT_FALSE(isPoison(ledger, innocent, now));
    EXPECT_EQ(ledger.poisonCount(now), 1U);
}

TEST(PoisonLedger, CountsTheServersOfAllNodesTogether)
{
    poison_ledger here;
    poison_ledger there;
    endServers(here, deadly, 1, 2);
    endServers(there, deadly, 2, 2);
    EXPECT_TRUE(here.merge(there.document(1, now), now));
    EXPECT_FALSE(here.merge(there.document(1, now), now));
    EXPECT_TRUE(isPoison(here, deadly, now));
    EXPECT_FALSE(isPoison(there, deadly, now));
}

TEST(PoisonLedger, ClearsAContentThatAServerHasServed)
{
    poison_ledger ledger;
    endServers(ledger, innocent, 1, poisonThreshold);
    EXPECT_TRUE(ledger.served(innocent));
    EXPECT_FALSE(ledger.served(innocent));
    EXPECT_FALSE(isPoison(ledger, innocent, now));
    // This holds on other nodes, too, and after further ends.
    poison_ledger other;
    endServers(other, innocent, 1, poisonThreshold);
    other.merge(ledger.document(1, now), now);
    endServers(other, innocent, 7, poisonThreshold);
    EXPECT_FALSE(isPoison(other, innocent, now));
    EXPECT_FALSE(ledger.served(deadly));
    EXPECT_EQ(ledger.size(), 1U);
}

TEST(PoisonLedger, ForgetsRecordsAfterTheirRetention)
{
    poison_ledger ledger;
    endServers(ledger, deadly, 1, poisonThreshold);
    EXPECT_TRUE(isPoison(ledger, deadly, now + poisonRetention));
    auto later = now + poisonRetention + std::chrono::seconds(1);
    EXPECT_FALSE(isPoison(ledger, deadly, later));
    EXPECT_FALSE(ledger.hasUnshared(later));
    EXPECT_TRUE(ledger.document(1, later).empty());
    ledger.merge({}, later);
    EXPECT_EQ(ledger.size(), 0U);
    // A clock that is set back does not expire records.
    endServers(ledger, deadly, 1, poisonThreshold);
    EXPECT_TRUE(isPoison(ledger, deadly, now - poisonRetention));
}

// Records far more requests than all servers can have in progress when they terminate.
TEST(PoisonLedger, KeepsPoisonWhenItDropsRecords)
{
    poison_ledger ledger;
    endServers(ledger, deadly, 1, poisonThreshold);
    constexpr std::uint64_t many = 3000;
    for (std::uint64_t i = 0; i < many; ++i) {
        ledger.serverEnded(1, { request_fingerprint { i } }, now + std::chrono::seconds(1));
    }
    EXPECT_LT(ledger.size(), many);
    EXPECT_TRUE(isPoison(ledger, deadly, now));
    EXPECT_LT(textOf(ledger.document(1, now), 1).size(), 1024U * 1024U);
}

TEST(PoisonLedger, ReportsRecordsThatTheSharedDocumentLacks)
{
    poison_ledger ledger;
    EXPECT_FALSE(ledger.hasUnshared(now));
    endServers(ledger, deadly, 1, 1);
    EXPECT_TRUE(ledger.hasUnshared(now));
    ledger.merge(ledger.document(4, now), now);
    ledger.markSyncedTo(4);
    EXPECT_FALSE(ledger.hasUnshared(now));
    EXPECT_TRUE(ledger.since(4, now).empty());
    EXPECT_EQ(ledger.since(3, now).size(), 1U);
    endServers(ledger, deadly, 2, 1);
    EXPECT_TRUE(ledger.hasUnshared(now));
}

// An older record from an outdated peer adds nothing, so it must not cause a write.
TEST(PoisonLedger, HasNothingUnsharedAfterAnOutdatedRecord)
{
    poison_ledger behind;
    endServers(behind, deadly, 1, 1);
    auto oldDocument = behind.document(1, now);
    endServers(behind, deadly, 2, 1);
    auto ledger = ledgerOf(behind.document(2, now));
    ledger.merge(oldDocument, now);
    EXPECT_FALSE(ledger.hasUnshared(now));
    EXPECT_EQ(ledger.since(1, now).size(), 1U);
}

TEST(PoisonLedger, ConvergesForAnyOrderOfMerges)
{
    rc::check([] {
        auto ledgers = randomlyMergedLedgers();
        auto merged = ledgers[2];
        for (const auto& ledger : ledgers) {
            merged.merge(ledger.document(1, now), now);
        }
        for (auto& ledger : ledgers) {
            ledger.merge(merged.document(1, now), now);
            RC_ASSERT(isPoison(ledger, deadly, now) == isPoison(merged, deadly, now));
            RC_ASSERT(isPoison(ledger, innocent, now) == isPoison(merged, innocent, now));
            RC_ASSERT(ledger.size() == merged.size());
        }
    });
}

TEST(PoisonLedger, SurvivesSerialization)
{
    poison_ledger ledger;
    endServers(ledger, deadly, 1ULL << 63U, poisonThreshold);
    endServers(ledger, innocent, 1, 1);
    ledger.served(innocent);
    auto document = parsePoisonDocument(textOf(ledger.document(9, now), 9));
    ASSERT_TRUE(document);
    EXPECT_EQ(document->version, 9);
    auto read = ledgerOf(document->records);
    EXPECT_TRUE(isPoison(read, deadly, now));
    endServers(read, innocent, 1, poisonThreshold);
    EXPECT_FALSE(isPoison(read, innocent, now));
}

TEST(PoisonLedger, RejectsMalformedDocumentsAndRecords)
{
    for (const auto* text : { "", "7", "[]", "{}", R"({"version":"1","records":[]})", R"({"version":1,"records":{}})" }) {
        EXPECT_FALSE(parsePoisonDocument(std::string(text))) << text;
    }
    auto document = parsePoisonDocument(std::string(R"({"version":1,"records":[7,{},{"c":"x","e":[],"t":1,"v":1},{"c":"0000000000000001","e":[-1],"t":1,"v":1},
        {"c":"0000000000000001","e":[1,2,3,4],"t":1,"v":1},{"c":"0000000000000001","e":[1],"t":-1,"v":1},{"c":"0000000000000001","e":[1],"t":1e30,"v":1},
        {"c":"0000000000000001","e":[1],"t":1,"v":-1},{"c":"0000000000000002","e":[1],"t":1,"v":1}]})"));
    ASSERT_TRUE(document);
    ASSERT_EQ(document->records.size(), 1U);
    EXPECT_EQ(document->records.front().content.value, 2U);
}

// A document with random changes to its bytes and its length is parsed or rejected without a crash.
TEST(PoisonLedger, SurvivesDamagedDocuments)
{
    poison_ledger ledger;
    endServers(ledger, deadly, 1, poisonThreshold);
    auto text = textOf(ledger.document(1, now), 1);
    rc::check([&] {
        auto damaged = text;
        auto changes = *rc::gen::inRange(1, 5);
        for (int i = 0; i < changes && !damaged.empty(); ++i) {
            auto position = *rc::gen::inRange<std::size_t>(0, damaged.size());
            damaged[position] = *rc::gen::arbitrary<char>();
            damaged.resize(*rc::gen::inRange<std::size_t>(damaged.size() / 2, damaged.size() + 1));
        }
        auto document = parsePoisonDocument(damaged);
        RC_ASSERT(!document || document->records.size() <= 1);
    });
}

// Records that the document has lost, or that a writer with fewer records has overwritten, count as
// unshared again.
TEST(PoisonLedger, WritesRecordsAgainThatTheDocumentHasLost)
{
    poison_ledger ledger;
    endServers(ledger, deadly, 1, 3);
    endServers(ledger, innocent, 1, 1);
    auto document = ledger.document(4, now);
    ledger.merge(document, now);
    ledger.markSyncedTo(4);
    ASSERT_FALSE(ledger.hasUnshared(now));
    ledger.reconcileWithStored(document);
    EXPECT_FALSE(ledger.hasUnshared(now));
    poison_ledger older;
    endServers(older, deadly, 1, 2);
    endServers(older, innocent, 1, 1);
    ledger.reconcileWithStored(older.document(2, now));
    auto unshared = ledger.unshared(now);
    ASSERT_EQ(unshared.size(), 1U);
    EXPECT_EQ(unshared[0].content, deadly);
    ledger.reconcileWithStored({});
    EXPECT_EQ(ledger.unshared(now).size(), 2U);
    EXPECT_TRUE(isPoison(ledger, deadly, now));
}

}
