#include "ContractsInForce/contract_files_of_test.h"
#include "Harness/command_run.h"
#include "Harness/mesh.h"

#include <gmock/gmock.h>

#include <future>

namespace vanillashunt {

namespace {

    using testing::HasSubstr;

    constexpr int roundsOfRace = 100;
    constexpr int exitRefused = 3;
    constexpr int exitUnknown = 4;

    // The commands of two operators, against a store without nodes.
    class contract_command_test : public testing::Test {
    protected:
        std::string write(const std::string& name, const std::string& text) { return writeFile(m_mesh.folder() / name, text); }

        std::vector<std::string> words(const std::string& name, const std::vector<std::string>& further)
        {
            std::vector<std::string> all { "contract", name, "--store", m_mesh.platform().address() };
            all.insert(all.end(), further.begin(), further.end());
            return all;
        }

        command_run run(const std::string& name, const std::vector<std::string>& further = {}) { return runCommand(words(name, further)); }
        command_run errorsOf(const std::string& name, const std::vector<std::string>& further = {}) { return runForErrors(words(name, further)); }

        // Applies a contract with that share and returns the revision that accepted it.
        std::string applied(const std::string& share, const std::vector<std::string>& further = {})
        {
            auto words = further;
            words.push_back(write("applied.toml", contractWithShare(share)));
            auto result = run("apply", words);
            EXPECT_EQ(result.exitCode, 0) << result.text;
            const std::string begin = "accepted: contract of customer 'hotel-seri' at revision ";
            EXPECT_EQ(result.text.rfind(begin, 0), 0U) << result.text;
            return result.text.substr(begin.size(), result.text.find('\n') - begin.size());
        }

        // Waits until the store has taken a write and keeps its answer back.
        bool waitUntilLost()
        {
            return waitUntil([&] { return m_mesh.platform().read("/control/calls")["lost_answers"].asUInt64() > 0; });
        }

        mesh m_mesh;
    };

}

TEST_F(contract_command_test, WhatWasAppliedCanBeReadListedAndCompared)
{
    auto revision = applied("0.5");
    auto got = run("get", { "hotel-seri" });
    EXPECT_EQ(got.text, "# revision " + revision + "\n" + contractWithShare("0.5"));
    EXPECT_EQ(run("list").text, "CUSTOMER    REVISION  CLASSES\nhotel-seri  " + revision + std::string(10 - revision.size(), ' ') + "1\n");
    auto changed = write("changed.toml", "# revision " + revision + "\n" + contractWithShare("0.6"));
    EXPECT_EQ(run("diff", { changed }).text, "share 0.5 -> 0.6\n");
    EXPECT_EQ(run("apply", { changed }).exitCode, 0);
    EXPECT_EQ(run("diff", { changed }).text, "");
}

TEST_F(contract_command_test, ApplyingTheSameTextAgainIsHarmless)
{
    auto revision = applied("0.5");
    EXPECT_EQ(applied("0.5"), revision);
}

TEST_F(contract_command_test, EveryRefusalSaysWhatToMend)
{
    const std::string begin = "vanillashunt contract apply: not accepted: ";
    auto early = write("early.toml", "# revision 7\n" + contractWithShare("0.4"));
    auto none = errorsOf("apply", { early });
    EXPECT_EQ(none.text, begin + "the file was made from revision 7, and no contract of customer 'hotel-seri' stands; apply with --base 0\n");
    EXPECT_EQ(none.exitCode, exitRefused);
    EXPECT_EQ(errorsOf("get", { "hotel-seri" }).text, "vanillashunt contract get: no contract of customer 'hotel-seri' stands in the store; 'vanillashunt contract list' shows all\n");
    EXPECT_EQ(errorsOf("diff", { early }).exitCode, exitUnknown);

    auto first = applied("0.5");
    auto unnamed = errorsOf("apply", { write("unnamed.toml", contractWithShare("0.4")) });
    EXPECT_EQ(unnamed.text, begin + "a contract of customer 'hotel-seri' stands at revision " + first + ", and the file does not say that it was made from it; look at 'vanillashunt contract diff', then apply with --base " + first + "\n");
    auto second = applied("0.6", { "--base", first });
    auto late = errorsOf("apply", { write("late.toml", "# revision " + first + "\n" + contractWithShare("0.4")) });
    EXPECT_EQ(late.text, begin + "the contract of customer 'hotel-seri' was changed by somebody else from revision " + first + " to " + second + ", and the file, made from the former, would change: share 0.6 -> 0.4. Nothing of yours was applied; make your change to revision " + second + " and apply it again\n");
    EXPECT_EQ(late.exitCode, exitRefused);
    EXPECT_EQ(run("get", { "hotel-seri" }).text, "# revision " + second + "\n" + contractWithShare("0.6"));
    EXPECT_EQ(errorsOf("apply", { late.text, "--base", "x" }).text, "vanillashunt contract apply: option '--base' 'x' is no revision; write a whole number from 0; see 'vanillashunt contract apply --help'\n");
}

TEST_F(contract_command_test, SharesAreCheckedBesideTheOthersInTheStore)
{
    applied("0.7");
    auto text = contractWithShare("0.4");
    text.replace(text.find("hotel-seri"), 10, "hotel-bayu");
    auto file = write("bayu.toml", text);
    auto result = errorsOf("apply", { file });
    EXPECT_EQ(result.text, file + ": the shares at service threads add up to more than 1: 0.4 of customer hotel-bayu + 0.7 of customer hotel-seri; lower a share, or move a class to another service\n");
    EXPECT_EQ(result.exitCode, exitRefused);
}

TEST_F(contract_command_test, ATextThatIsNoContractCanBeReplaced)
{
    m_mesh.putContract("hotel-seri", "nothing of a contract");
    EXPECT_THAT(errorsOf("apply", { write("new.toml", contractWithShare("0.5")) }).text, HasSubstr("stands at revision 2"));
    applied("0.5", { "--base", "2" });
}

TEST_F(contract_command_test, WhileTheStoreIsDownNothingIsSent)
{
    m_mesh.platform().control(R"({"down":true})");
    auto result = errorsOf("apply", { write("new.toml", contractWithShare("0.5")) });
    EXPECT_EQ(result.text, "vanillashunt contract apply: not accepted: the store cannot be read: no endpoint of the store can be reached; nothing was sent\n");
    EXPECT_EQ(result.exitCode, exitRefused);
    EXPECT_EQ(errorsOf("list").text, "vanillashunt contract list: the store cannot be read: no endpoint of the store can be reached\n");
    m_mesh.platform().control(R"({"down":false})");
    EXPECT_EQ(run("list").text, "CUSTOMER  REVISION  CLASSES\n");
}

TEST_F(contract_command_test, ALostAnswerEndsInATruthfulAccepted)
{
    m_mesh.platform().control(R"({"lose_answers":1})");
    auto revision = applied("0.5");
    EXPECT_EQ(m_mesh.platform().read("/control/calls")["lost_answers"].asUInt64(), 1U);
    EXPECT_EQ(run("get", { "hotel-seri" }).text, "# revision " + revision + "\n" + contractWithShare("0.5"));
}

TEST_F(contract_command_test, ALostAnswerBeforeAnOutageIsNotKnown)
{
    // The answer is lost after a while, so that the outage comes before the next try.
    m_mesh.platform().control(R"({"lose_answers":1,"delay_ms":2000})");
    auto file = write("new.toml", contractWithShare("0.5"));
    auto applying = std::async(std::launch::async, [&] { return errorsOf("apply", { file }); });
    EXPECT_TRUE(waitUntilLost());
    m_mesh.platform().control(R"({"down":true})");
    auto result = applying.get();
    EXPECT_EQ(result.exitCode, exitUnknown);
    EXPECT_THAT(result.text, HasSubstr("vanillashunt contract apply: not known: the contract was sent and no answer came (store at "));
    EXPECT_THAT(result.text, HasSubstr("); ask with 'vanillashunt contract get hotel-seri', then apply again\n"));
    m_mesh.platform().control(R"({"down":false,"delay_ms":0})");
    EXPECT_EQ(applied("0.5"), "2");
}

TEST_F(contract_command_test, ALostAnswerBeforeAnothersChangeIsNotKnown)
{
    m_mesh.platform().control(R"({"lose_answers":1,"delay_ms":2000})");
    auto file = write("new.toml", contractWithShare("0.5"));
    auto applying = std::async(std::launch::async, [&] { return errorsOf("apply", { file }); });
    EXPECT_TRUE(waitUntilLost());
    m_mesh.platform().control(R"({"delay_ms":0})");
    m_mesh.putContract("hotel-seri", contractWithShare("0.6"));
    auto result = applying.get();
    EXPECT_EQ(result.exitCode, exitUnknown);
    EXPECT_THAT(result.text, HasSubstr("and another stands since: revision 3; look at 'vanillashunt contract diff', then apply again with --base\n"));
}

TEST_F(contract_command_test, OfTwoOperatorsExactlyOneIsAccepted)
{
    auto revision = applied("0.5");
    std::string standing = "0.5";
    for (int round = 0; round < roundsOfRace && !HasFailure(); ++round) {
        const std::string shares[] = { "0." + std::to_string(1000 + round) + "1", "0." + std::to_string(1000 + round) + "2" };
        std::future<command_run> operators[2];
        for (int i = 0; i < 2; ++i) {
            auto file = write("operator-" + std::to_string(i) + ".toml", "# revision " + revision + "\n" + contractWithShare(shares[i]));
            operators[i] = std::async(std::launch::async, [this, file] { return errorsOf("apply", { file }); });
        }
        command_run ends[] = { operators[0].get(), operators[1].get() };
        ASSERT_EQ(std::min(ends[0].exitCode, ends[1].exitCode), 0) << ends[0].text << ends[1].text;
        ASSERT_EQ(std::max(ends[0].exitCode, ends[1].exitCode), exitRefused);
        int winner = ends[0].exitCode == 0 ? 0 : 1;
        const auto& told = ends[1 - winner].text;
        EXPECT_THAT(told, HasSubstr("by somebody else"));
        // Either what the other changed since the common base, or what would now change.
        EXPECT_THAT(told, testing::AnyOf(HasSubstr("share " + standing + " -> " + shares[winner] + "."), HasSubstr("share " + shares[winner] + " -> " + shares[1 - winner] + ".")));
        auto got = run("get", { "hotel-seri" }).text;
        revision = got.substr(11, got.find('\n') - 11);
        EXPECT_EQ(got, "# revision " + revision + "\n" + contractWithShare(shares[winner]));
        standing = shares[winner];
    }
}

}
