#include "contract/parse_contract.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using ::testing::ElementsAre;

    const std::string topLevelKeys = "customer = \"hotel-seri\"\nshare = 0.4\n";

    // A valid class. Test cases add, remove or replace some of its lines.
    const std::string deskReply = "[[class]]\nname = \"desk-reply\"\nservice = \"replies\"\nmethod = \"POST\"\nidempotent = false\n"
                                  "importance = \"confirmed\"\ndeadline = \"2s\"\ntarget = 0.999\n";

    std::vector<std::string> reportedProblems(const std::string& text)
    {
        auto result = parseContract(text, "c.toml");
        std::vector<std::string> lines;
        if (const auto* problems = std::get_if<std::vector<text_problem>>(&result)) {
            for (const auto& problem : *problems) {
                lines.push_back(toString(problem));
            }
        }
        return lines;
    }

    std::string replace(std::string text, const std::string& from, const std::string& to)
    {
        return text.replace(text.find(from), from.size(), to);
    }

}

TEST(ContractRefusals, ReadsEveryKeyOfAValidContract)
{
    auto result = parseContract(topLevelKeys + deskReply + "retries = 2\npath = \"/replies\"\n", "c.toml");
    const auto& terms = std::get<contract>(result);
    EXPECT_EQ(terms.organisation, "hotel-seri");
    EXPECT_EQ(terms.share, 0.4);
    ASSERT_EQ(terms.classes.size(), 1U);
    const auto& requestClass = terms.classes.front();
    EXPECT_EQ(requestClass.name + requestClass.service + requestClass.method + requestClass.pathPrefix, "desk-replyrepliesPOST/replies");
    EXPECT_FALSE(requestClass.idempotent);
    EXPECT_EQ(requestClass.level, importance::Confirmed);
    EXPECT_EQ(requestClass.deadline, std::chrono::seconds(2));
    EXPECT_EQ(requestClass.target, 0.999);
    EXPECT_EQ(requestClass.retries, 2U);
}

TEST(ContractRefusals, ReportsEveryProblemInLineOrder)
{
    EXPECT_THAT(reportedProblems("customer = \"Hotel\"\nshare = 1.5\nshar = 3\n[[class]]\nname = 7\nretrys = 3\nimportance = \"urgent\"\n"
                                 "idempotent = \"no\"\nmethod = \"get\"\npath = \"replies\"\ndeadline = \"2 s\"\ntarget = 1\nretries = 4\n"),
        ElementsAre("c.toml:1: customer is \"Hotel\", but has to be a name of 1 to 63 characters from a-z, 0-9 and \"-\"; write for example customer = \"hotel-seri\"",
            "c.toml:2: share is 1.5, but has to be a number above 0 and at most 1; write for example share = 0.4",
            "c.toml:3: unknown key \"shar\"; did you mean \"share\"?",
            "c.toml:4: class number 1: service is missing; add it, for example service = \"replies\"",
            "c.toml:5: class number 1: name is 7, but has to be a name of 1 to 63 characters from a-z, 0-9 and \"-\"; write for example name = \"desk-reply\"",
            "c.toml:6: class number 1: unknown key \"retrys\"; did you mean \"retries\"?",
            "c.toml:7: class number 1: importance is \"urgent\", but has to be one of \"deferrable\", \"interactive\", \"confirmed\"; write for example importance = \"interactive\"",
            "c.toml:8: class number 1: idempotent is \"no\", but has to be true or false; write for example idempotent = false",
            "c.toml:9: class number 1: method is \"get\", but has to be one of \"GET\", \"HEAD\", \"POST\", \"PUT\", \"PATCH\", \"DELETE\", \"OPTIONS\"; write for example method = \"POST\"",
            "c.toml:10: class number 1: path is \"replies\", but has to be a path that begins with \"/\", without spaces, \"?\" or \"#\", of at most 512 characters; write for example path = \"/\"",
            "c.toml:11: class number 1: deadline is \"2 s\", but has to be a duration from 10ms to 1min, in whole ms, s or min; write for example deadline = \"2s\"",
            "c.toml:12: class number 1: target is 1, but has to be a number above 0 and below 1; write for example target = 0.999",
            "c.toml:13: class number 1: retries is 4, but has to be an integer from 0 to 3; write for example retries = 2"));
}

TEST(ContractRefusals, ReportsMissingKeys)
{
    EXPECT_THAT(reportedProblems(""),
        ElementsAre("c.toml:1: customer is missing; add it, for example customer = \"hotel-seri\"",
            "c.toml:1: share is missing; add it, for example share = 0.4",
            "c.toml:1: there is no class; begin one with a line [[class]]"));
    EXPECT_THAT(reportedProblems(topLevelKeys + "class = \"desk-reply\"\n"),
        ElementsAre("c.toml:3: class is \"desk-reply\", but has to be a list of tables; begin each with a line [[class]]"));
    EXPECT_THAT(reportedProblems(topLevelKeys + "colour = 1\n" + deskReply),
        ElementsAre("c.toml:3: unknown key \"colour\"; known keys are \"customer\", \"share\", \"class\""));
    for (const std::string key : { "method = \"POST\"", "idempotent = false", "importance = \"confirmed\"", "deadline = \"2s\"", "target = 0.999" }) {
        auto line = key + "\n";
        auto reported = reportedProblems(topLevelKeys + replace(deskReply, line, ""));
        ASSERT_EQ(reported.size(), 1U) << key;
        EXPECT_EQ(reported.front().find("c.toml:3: class \"desk-reply\": " + key.substr(0, key.find(' ')) + " is missing; add it"), 0U) << reported.front();
    }
}

TEST(ContractRefusals, ReportsConflictsBetweenKeysAndClasses)
{
    EXPECT_THAT(reportedProblems(topLevelKeys + deskReply + deskReply),
        ElementsAre("c.toml:12: class \"desk-reply\": name is already used by the class on line 3; give each class its own name",
            "c.toml:13: class \"desk-reply\": service, method and path are the same as those of the class on line 3; change one of the three, or merge the two classes"));
    EXPECT_THAT(reportedProblems(topLevelKeys + replace(deskReply, "POST", "GET")),
        ElementsAre("c.toml:6: class \"desk-reply\": method is \"GET\", but importance is \"confirmed\" and idempotent is false, and a GET must be safe to repeat; "
                    "write idempotent = true, or use a method that changes state, for example method = \"POST\""));
    EXPECT_THAT(reportedProblems(topLevelKeys + replace(deskReply, "2s", "25ms") + "retries = 2\n"),
        ElementsAre("c.toml:9: class \"desk-reply\": deadline is \"25ms\", but the first attempt and 2 retries need 10ms each; write at least deadline = \"30ms\", or fewer retries"));
}

TEST(ContractRefusals, AcceptsOnlyValuesWithinBounds)
{
    for (const std::string valid : { "10ms", "1min", "60s", "60000ms" }) {
        EXPECT_THAT(reportedProblems(topLevelKeys + replace(deskReply, "2s", valid)), ElementsAre()) << valid;
    }
    for (const std::string invalid : { "9ms", "60001ms", "2min", "-1s", "1.5s", "2", "s", "2S", " 2s", "99999999999999999999s", "9223372036854775807min" }) {
        EXPECT_EQ(reportedProblems(topLevelKeys + replace(deskReply, "2s", invalid)).size(), 1U) << invalid;
    }
    for (const std::string valid : { "1", "1.0", "1e-9" }) {
        EXPECT_THAT(reportedProblems(replace(topLevelKeys, "0.4", valid) + deskReply), ElementsAre()) << valid;
    }
    for (const std::string invalid : { "0", "-0.1", "1.0001", "nan", "inf", "1e999", "\"0.4\"", "[0.4]", "true", "1979-05-27" }) {
        EXPECT_EQ(reportedProblems(replace(topLevelKeys, "0.4", invalid) + deskReply).size(), 1U) << invalid;
    }
    EXPECT_THAT(reportedProblems(replace(topLevelKeys, "hotel-seri", std::string(63, 'x')) + deskReply), ElementsAre());
    EXPECT_EQ(reportedProblems(replace(topLevelKeys, "hotel-seri", std::string(64, 'x')) + deskReply).size(), 1U);
}

TEST(ContractRefusals, ReportsLineAndColumnOfSyntaxErrors)
{
    EXPECT_THAT(reportedProblems(topLevelKeys + "class = \n"), ElementsAre("c.toml:3:9: this is not TOML: missing value after key-value separator '=' (expected value, but got nothing)"));
    EXPECT_THAT(reportedProblems("a = ["), ElementsAre("c.toml:1:6: this is not TOML: value having invalid format appeared in an array (it is not a valid value.)"));
    EXPECT_THAT(reportedProblems("customer \"x\"\n"), ElementsAre("c.toml:1:9: this is not TOML: missing key-value separator `=` (should be `=`)"));
    EXPECT_THAT(reportedProblems(topLevelKeys + "share = 1\n"), ElementsAre("c.toml:3:9: this is not TOML: value (\"share\") already exists (value defined twice)"));
    EXPECT_THAT(reportedProblems("a = 1\nb = \"x\n"), ElementsAre("c.toml:2:5: this is not TOML: the next token is not a valid string"));
    EXPECT_THAT(reportedProblems(topLevelKeys + "x = \"\xff\"\n"), ElementsAre("c.toml:3:6: this is not UTF-8; save the file in that encoding"));
    EXPECT_THAT(reportedProblems("a =\n[[[[[[[[["), ElementsAre("c.toml:2:9: more than 8 brackets are open; close them, or remove them from comments and strings"));
    EXPECT_THAT(reportedProblems("\n" + std::string(1025, 'a')), ElementsAre("c.toml:2: the line is longer than 1024 bytes; break it up"));
    EXPECT_THAT(reportedProblems(std::string(65537, '\n')), ElementsAre("c.toml: the text has 65537 bytes, but may have at most 64KiB; remove what is not needed"));
}

}
