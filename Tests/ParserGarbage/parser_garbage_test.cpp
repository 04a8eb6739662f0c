#include "contract/parse_contract.h"
#include "settings/format_settings.h"
#include "settings/parse_settings.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <random>

namespace vanillashunt {

namespace {

    constexpr std::uint64_t defaultSeed = 20240607;
    constexpr int rounds = 3000;
    constexpr int settingsRounds = 300;

    // Valid and invalid fragments of TOML that random bytes would hardly ever contain.
    const std::vector<std::string> fragments { "\n", " ", "=", "\"", "'", "\"\"\"", "'''", "[", "]", "[[", "]]", "{", "}", ",", ".", "#", "\\", "\\u00e9", "\\ud800", "\\UFFFFFFFF",
        "customer", "share", "class", "name", "deadline", "node", "peer", "listen", "join", "[[class]]\n", "[node]\n", "a.b.c", "0x", "0b2", "1e999", "-", "+", "_", "1_0", "9223372036854775808", "nan", "inf",
        "1979-05-27T07:32:00Z", "1979-13-41", "07:32:61", "true", "\"2s\"", "\"99999999999999999999s\"", "\r", "\r\n", "\t", std::string(1, '\0'), "\xef\xbb\xbf", "\xff", "\xc3\xa9", "\xf0\x9f\x98\x80" };

    const std::string validContract = "customer = \"a\"\nshare = 0.4\n[[class]]\nname = \"b\"\nservice = \"c\"\nmethod = \"POST\"\npath = \"/\"\nidempotent = false\n"
                                      "importance = \"confirmed\"\ndeadline = \"2s\"\ntarget = 0.9\nretries = 2\n";
    const std::string validSettings = "[node]\nname = \"a\"\navailability_zone = \"b\"\n[peer]\nlisten = \"[::1]:7\"\njoin = [\"192.0.2.1:7\",\n \"[::1]:7\"]\n[limits]\nmax_body = \"1MiB\"\n";

    // The seed can be set in the environment to reproduce a failure.
    std::uint64_t chooseSeed()
    {
        const char* given = std::getenv("VANILLASHUNT_TEST_SEED");
        std::uint64_t seed = given ? std::strtoull(given, nullptr, 10) : defaultSeed;
        std::cout << "VANILLASHUNT_TEST_SEED=" << seed << "\n";
        return seed;
    }

    class random_text_source {
    public:
        int randomBelow(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }
        const std::string& fragment() { return fragments[randomBelow(static_cast<int>(fragments.size()))]; }

        std::string bytes()
        {
            std::string text(randomBelow(200), ' ');
            for (char& character : text) {
                character = static_cast<char>(randomBelow(256));
            }
            return text;
        }

        std::string tokens()
        {
            std::string text;
            for (int remaining = randomBelow(60); remaining > 0; --remaining) {
                text += fragment();
            }
            return text;
        }

        // Removes, inserts or duplicates a few parts of a valid text.
        std::string mutation(std::string text)
        {
            for (int remaining = 1 + randomBelow(4); remaining > 0; --remaining) {
                std::size_t at = randomBelow(static_cast<int>(text.size()) + 1);
                std::size_t length = randomBelow(12);
                std::string inserted = randomBelow(2) == 0 ? fragment() : text.substr(at, length);
                text.replace(at, randomBelow(2) == 0 ? length : 0, inserted);
            }
            return text;
        }

        std::string word() { return "w" + std::to_string(randomBelow(1000)); }
        std::string endpoint() { return (randomBelow(2) == 0 ? "192.0.2." + std::to_string(1 + randomBelow(254)) : "[2001:db8::" + std::to_string(randomBelow(9999)) + "]") + ":" + std::to_string(1 + randomBelow(65535)); }
        port_settings port() { return { endpoint(), randomBelow(2) == 0 ? "" : endpoint() }; }

        std::vector<std::string> endpoints()
        {
            std::vector<std::string> result(randomBelow(100));
            for (auto& text : result) {
                text = endpoint();
            }
            return result;
        }

        node_settings settings()
        {
            static const std::vector<std::string> levels { "debug", "info", "warning", "error" };
            static const std::vector<std::string> policies { "full", "hop", "none" };
            return { word(), word(), randomBelow(2) == 0 ? "" : word(), randomBelow(2) == 0 ? "" : "192.0.2.7", port(), port(), port(), port(), endpoints(), endpoints(),
                static_cast<std::uint64_t>(1024) + randomBelow(64 * 1024 * 1023), std::chrono::milliseconds(randomBelow(600001)), levels[randomBelow(4)], policies[randomBelow(3)], randomBelow(2) == 0 ? "" : word(), std::nullopt,
                minMemoryBytes + randomBelow(1024 * 1024 * 1024) };
        }

    private:
        std::mt19937_64 m_random { chooseSeed() };
    };

    // Checks for any text that both parsers return a result, that at least one of them reports
    // problems, and that each problem has a message of one line and a line number within the text.
    void expectResult(const std::string& text)
    {
        SCOPED_TRACE(testing::PrintToString(text));
        auto terms = parseContract(text, "c.toml");
        auto settings = parseSettings(text, "s.toml");
        auto* contractProblems = std::get_if<std::vector<text_problem>>(&terms);
        auto* settingsProblems = std::get_if<std::vector<text_problem>>(&settings);
        EXPECT_TRUE(contractProblems || settingsProblems);
        for (const auto* problems : { contractProblems, settingsProblems }) {
            for (const auto& problem : problems ? *problems : std::vector<text_problem>()) {
                EXPECT_FALSE(problem.message.empty());
                EXPECT_LE(problem.line, 1 + std::count(text.begin(), text.end(), '\n'));
                EXPECT_EQ(toString(problem).find('\n'), std::string::npos);
            }
        }
    }

}

TEST(ParserGarbage, EveryTextGetsAResult)
{
    random_text_source source;
    for (int round = 0; round < rounds; ++round) {
        expectResult(source.bytes());
        expectResult(source.tokens());
        expectResult(source.mutation(validContract));
        expectResult(source.mutation(validSettings));
    }
}

TEST(ParserGarbage, HandlesTheDeepestAllowedNesting)
{
    std::string nestedOpening = "[\n{" + std::string(500, 'a');
    for (std::size_t dot = 5; dot < nestedOpening.size(); dot += 2) {
        nestedOpening[dot] = '.';
    }
    std::string text = "a=";
    for (int level = 0; level < 4; ++level) {
        text += nestedOpening + "=";
    }
    expectResult(text + "1}]}]}]}]\n");
}

TEST(ParserGarbage, FormattedSettingsParseToTheSameSettings)
{
    random_text_source source;
    for (int round = 0; round < settingsRounds; ++round) {
        auto text = formatSettings(source.settings());
        auto result = parseSettings(text, "s.toml");
        const auto* settings = std::get_if<node_settings>(&result);
        ASSERT_TRUE(settings) << toString(std::get<std::vector<text_problem>>(result).front()) << "\n"
                              << text;
        EXPECT_EQ(formatSettings(*settings), text);
    }
}

}
