#include "contract/check_contract.h"
#include "contract/derive_limits.h"
#include "contract/diff_contracts.h"
#include "contract/explain_contract.h"
#include "contract/parse_contract.h"
#include "decision/ticket.h"
#include "settings/parse_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using ::testing::ElementsAre;

    request_class deskReply()
    {
        return { "desk-reply", "replies", "POST", "/", false, importance::Confirmed, milliseconds(2000), 0.999, 2 };
    }

    request_class history()
    {
        return { "history", "threads", "GET", "/history", true, importance::Deferrable, milliseconds(1000), 0.95, 1 };
    }

    void add(contract_set& set, const contract& terms, std::int64_t revision)
    {
        set.byOrganisation[terms.organisation] = { terms, "", revision };
        set.revision = std::max(set.revision, revision);
    }

    contract_set twoHotels()
    {
        contract_set set;
        add(set, { "seri", 0.4, { deskReply(), history() } }, 7);
        add(set, { "melati", 0.1, { history() } }, 9);
        return set;
    }

    template <typename Item>
    std::vector<std::string> toStrings(const std::vector<Item>& items)
    {
        std::vector<std::string> result;
        std::transform(items.begin(), items.end(), std::back_inserter(result), [](const Item& item) { return toString(item); });
        return result;
    }

}

TEST(ContractLimits, SharesOfOneServiceAddUpToAtMostOne)
{
    auto set = twoHotels();
    EXPECT_THAT(toStrings(checkAgainstOthers({ "kenanga", 0.5, { history() } }, set)), ElementsAre());
    EXPECT_THAT(toStrings(checkAgainstOthers({ "kenanga", 0.6, { deskReply() } }, set)), ElementsAre());
    EXPECT_THAT(toStrings(checkAgainstOthers({ "kenanga", 0.6, { deskReply(), history() } }, set, "k.toml")),
        ElementsAre("k.toml: the shares at service threads add up to more than 1: 0.6 of customer kenanga + 0.1 of customer melati + 0.4 of customer seri; lower a share, or move a class to another service"));
    // The contract in force of the same organisation is replaced, not added.
    EXPECT_THAT(toStrings(checkAgainstOthers({ "seri", 0.9, { history() } }, set)), ElementsAre());
    contract_set decimalShares;
    add(decimalShares, { "a", 0.7, { history() } }, 1);
    add(decimalShares, { "b", 0.1, { history() } }, 2);
    EXPECT_THAT(toStrings(checkAgainstOthers({ "c", 0.2, { history() } }, decimalShares)), ElementsAre());
}

TEST(ContractLimits, DeadlinesLeaveTimeForEachRetry)
{
    auto shortDeadline = deskReply();
    shortDeadline.deadline = milliseconds(29);
    EXPECT_THAT(toStrings(checkAgainstOthers({ "seri", 0.4, { shortDeadline } }, {})),
        ElementsAre("class \"desk-reply\": deadline is \"29ms\", but the first attempt and 2 retries need 10ms each; write at least deadline = \"30ms\", or fewer retries"));
}

TEST(ContractLimits, AreDerivedFromTheContract)
{
    auto limits = deriveLimits(twoHotels());
    EXPECT_EQ(limits.revision, 9);
    const auto& seri = limits.byOrganisation.at("seri");
    EXPECT_EQ(seri.weight, 0.4);
    EXPECT_EQ(seri.revision, 7);
    ASSERT_EQ(seri.services.size(), 2U);
    EXPECT_DOUBLE_EQ(seri.services.at(0).fraction, 1);
    EXPECT_DOUBLE_EQ(seri.services.at(1).fraction, 0.8);
    const auto& reply = seri.classes.at(0);
    EXPECT_EQ(reply.band.first, 2 * positionsPerImportance);
    EXPECT_EQ(reply.band.last, sheddingPositionCount - 1);
    EXPECT_EQ(reply.retryTokens, 2U);
    EXPECT_EQ(reply.ledgerRetention, ticketLifetime);
    EXPECT_EQ(seri.classes.at(1).ledgerRetention, milliseconds(0));
    EXPECT_EQ(deriveClassLimits({ "slow", "s", "POST", "/", false, importance::Interactive, milliseconds(30000), 0.9, maxRetries + 5 }).retryTokens, maxRetries);
}

TEST(ContractLimits, BandsAreContiguousAndContainThePositions)
{
    shedding_position next = 0;
    for (auto level : { importance::Deferrable, importance::Interactive, importance::Confirmed }) {
        auto band = sheddingBand(level);
        EXPECT_EQ(band.first, next);
        next = band.last + 1;
        auto position = sheddingPosition(level, "some-request");
        EXPECT_TRUE(band.first <= position && position <= band.last);
    }
    EXPECT_EQ(next, sheddingPositionCount);
}

TEST(ContractLimits, AreExplainedWithTheirFormulas)
{
    EXPECT_FALSE(explainContract(twoHotels(), "kenanga"));
    EXPECT_EQ(explainContract(twoHotels(), "seri"),
        "customer seri, revision 7\n"
        "  weight = share = 0.4\n"
        "  part of replies = share / sum of shares there = 0.4 / 0.4 = 1, while all customers there have requests waiting\n"
        "  part of threads = share / sum of shares there = 0.4 / 0.5 = 0.8, while all customers there have requests waiting\n"
        "\n"
        "class desk-reply: POST replies /\n"
        "  time = min(deadline, time that the caller still waits) = at most 2s\n"
        "  shedding band = importance x 4096, and 4096 positions from there = 2 x 4096 = 8192 to 12287 (confirmed); a node sheds the positions below its cut\n"
        "  retry tokens = min(retries, bound) = min(2, 3) = 2, for all calls of one request together\n"
        "  refusal budget = 1 - target = 1 - 0.999 = 0.001 of the requests\n"
        "  ledger retention = ticket lifetime = 2min\n"
        "\n"
        "class history: GET threads /history\n"
        "  time = min(deadline, time that the caller still waits) = at most 1s\n"
        "  shedding band = importance x 4096, and 4096 positions from there = 0 x 4096 = 0 to 4095 (deferrable); a node sheds the positions below its cut\n"
        "  retry tokens = min(retries, bound) = min(1, 3) = 1, for all calls of one request together\n"
        "  refusal budget = 1 - target = 1 - 0.95 = 0.05 of the requests\n"
        "  ledger retention = 0, because the class is idempotent and needs no ticket\n");
}

TEST(ContractLimits, DifferencesAreDescribed)
{
    contract before { "seri", 0.4, { deskReply(), history() } };
    auto changed = deskReply();
    changed.deadline = milliseconds(3000);
    changed.idempotent = true;
    auto added = history();
    added.name = "notices";
    contract after { "seri", 0.3, { changed, added } };
    EXPECT_THAT(toStrings(diffContracts(before, before)), ElementsAre());
    EXPECT_THAT(toStrings(diffContracts(before, after)),
        ElementsAre("share 0.4 -> 0.3", "class history removed: GET threads /history, deferrable, 1s",
            "class desk-reply idempotent false -> true", "class desk-reply deadline 2s -> 3s", "class notices added: GET threads /history, deferrable, 1s"));
    auto deadline = diffContracts(before, after).at(3);
    EXPECT_EQ(deadline.change, contract_change::ClassChanged);
    EXPECT_EQ(deadline.requestClass + " " + deadline.key, "desk-reply deadline");
    changed.idempotent = false;
    EXPECT_EQ(describeConcurrentChange({ before, "", 7 }, { { "seri", 0.4, { changed, history() } }, "", 9 }),
        "customer seri was changed from revision 7 to 9 by somebody else: class desk-reply deadline 2s -> 3s. Your change was not applied; base it on revision 9 and apply it again");
}

TEST(ContractLimits, TheExamplesAreValidTogether)
{
    int contracts = 0;
    int nodes = 0;
    for (const std::string mesh : { "hotel", "hire" }) {
        contract_set set;
        for (const auto& entry : std::filesystem::directory_iterator(std::filesystem::path(EXAMPLES) / mesh)) {
            auto name = entry.path().filename().string();
            std::stringstream text;
            text << std::ifstream(entry.path()).rdbuf();
            if (name.rfind("contract-", 0) == 0) {
                auto result = parseContract(text.str(), name);
                ASSERT_TRUE(std::holds_alternative<contract>(result)) << toString(std::get<1>(result).front());
                EXPECT_THAT(toStrings(checkAgainstOthers(std::get<contract>(result), set)), ElementsAre());
                add(set, std::get<contract>(result), ++contracts);
            }
            if (name.rfind("node-", 0) == 0) {
                auto result = parseSettings(text.str(), name);
                ASSERT_TRUE(std::holds_alternative<node_settings>(result)) << toString(std::get<1>(result).front());
                ++nodes;
            }
        }
    }
    EXPECT_EQ(contracts, 3);
    EXPECT_EQ(nodes, 2);
}

}
