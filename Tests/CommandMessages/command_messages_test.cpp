#include "Harness/command_run.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace vanillashunt {

namespace {

    constexpr int usage = 2;
    constexpr int refused = 3;
    constexpr int unreachable = 5;

    using words = std::vector<std::string>;

    // A command line that is wrong, and all that is printed for it.
    struct wrong_line {
        words line;
        int exitCode;
        std::string errors;
    };

    std::string readText(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    // As a page shows a text word for word.
    std::string indent(const std::string& text)
    {
        std::string result;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            result += (line.empty() ? "" : "    " + line) + "\n";
        }
        return result;
    }

    const std::vector<words> allCommands {
        { "node" },
        { "contract" },
        { "contract", "check" },
        { "contract", "explain" },
        { "contract", "apply" },
        { "contract", "get" },
        { "contract", "list" },
        { "contract", "diff" },
        { "contract", "status" },
        { "stop" },
        { "stop", "announce" },
        { "stop", "withdraw" },
        { "status" },
        { "dump" },
        { "explain" },
        { "quota" },
        { "check-settings" },
        { "version" },
        { "help" },
    };

    // A file that is removed with the object.
    class text_file {
    public:
        explicit text_file(const std::string& text)
        {
            auto pattern = (std::filesystem::temp_directory_path() / "vanillashunt-XXXXXX").string();
            if (!mkdtemp(pattern.data())) {
                throw std::runtime_error("cannot make a folder");
            }
            m_folder = pattern;
            std::ofstream(path()) << text;
        }

        ~text_file()
        {
            std::error_code ignored;
            std::filesystem::remove_all(m_folder, ignored);
        }

        text_file(const text_file&) = delete;
        text_file& operator=(const text_file&) = delete;

        std::string path() const { return (m_folder / "file.toml").string(); }

    private:
        std::filesystem::path m_folder;
    };

}

TEST(CommandMessages, WrongLinesAreToldWithTheirMend)
{
    const std::vector<wrong_line> cases {
        { {}, usage, "vanillashunt: name a command; see 'vanillashunt --help'\n" },
        { { "statu" }, usage, "vanillashunt: there is no command 'statu'; did you mean 'status'; see 'vanillashunt --help'\n" },
        { { "help", "zzzzzz" }, usage, "vanillashunt: there is no command 'zzzzzz'; see 'vanillashunt --help'\n" },
        { { "node" }, usage, "vanillashunt node: name one settings file; see 'vanillashunt node --help'\n" },
        { { "node", "/none" }, usage, "vanillashunt: cannot read settings file '/none'\n" },
        { { "check-settings", "a", "b" }, usage, "vanillashunt check-settings: name one settings file; see 'vanillashunt check-settings --help'\n" },
        { { "version", "x" }, usage, "vanillashunt version: takes no words; see 'vanillashunt version --help'\n" },
        { { "status" }, usage, "vanillashunt status: name a node by its operator port, for example --node 192.0.2.10:7003; see 'vanillashunt status --help'\n" },
        { { "status", "host:1" }, usage, "vanillashunt status: 'host:1' is no operator port; give one in numbers, for example 192.0.2.10:7003; see 'vanillashunt status --help'\n" },
        { { "dump", "--node", "7003" }, usage, "vanillashunt dump: option '--node' is '7003'; give an operator port in numbers, for example 192.0.2.10:7003; see 'vanillashunt dump --help'\n" },
        { { "dump", "--node" }, usage, "vanillashunt dump: option '--node' needs a value; see 'vanillashunt dump --help'\n" },
        { { "status", "--bogus", "127.0.0.1:1" }, usage, "vanillashunt status: option '--bogus' is unknown or has a value too many; see 'vanillashunt status --help'\n" },
        { { "status", "--timeout", "0s", "127.0.0.1:1" }, usage, "vanillashunt status: option '--timeout' is '0s'; give a whole number with ms, s or min, for example 3s; see 'vanillashunt status --help'\n" },
        { { "explain" }, usage, "vanillashunt explain: name a request by its id; see 'vanillashunt explain --help'\n" },
        { { "quota" }, usage, "vanillashunt quota: name an organisation; see 'vanillashunt quota --help'\n" },
        { { "stop", "bogus" }, usage, "vanillashunt stop: there is no command 'bogus'; see 'vanillashunt stop --help'\n" },
        { { "contract", "chek" }, usage, "vanillashunt contract: there is no command 'chek'; did you mean 'check'; see 'vanillashunt contract --help'\n" },
        { { "contract", "check" }, usage, "vanillashunt contract check: name a contract file; see 'vanillashunt contract check --help'\n" },
        { { "contract", "explain", "/none" }, usage, "vanillashunt contract explain: cannot read contract file '/none'\n" },
        { { "status", "127.0.0.1:1" }, unreachable, "vanillashunt status: cannot connect to 127.0.0.1:1: Connection refused; see whether the node runs and this is its operator port\n" },
        { { "stop", "announce", "--node", "127.0.0.1:1" }, unreachable, "vanillashunt stop announce: cannot connect to 127.0.0.1:1: Connection refused; see whether the node runs and this is its operator port\n" },
    };
    for (const auto& wrong : cases) {
        auto errors = runForErrors(wrong.line);
        EXPECT_EQ(errors.text, wrong.errors);
        EXPECT_EQ(errors.exitCode, wrong.exitCode) << wrong.errors;
        EXPECT_EQ(runCommand(wrong.line).text, "") << wrong.errors;
    }
}

TEST(CommandMessages, EveryCommandHasItsHelpAndItsManualPage)
{
    for (auto line : allCommands) {
        line.emplace_back("--help");
        auto help = runCommand(line);
        line.pop_back();
        EXPECT_EQ(help.exitCode, 0);
        std::string path;
        for (const auto& word : line) {
            path += " " + word;
        }
        EXPECT_EQ(help.text.rfind("usage: vanillashunt" + path, 0), 0U) << help.text;
        auto page = readText(std::filesystem::path(MANUAL) / (line.front() + ".md"));
        EXPECT_NE(page.find(indent(help.text)), std::string::npos) << "the manual page of" << path;
    }
    auto list = runCommand({ "help" });
    for (const auto& line : allCommands) {
        EXPECT_NE(list.text.find("\n  " + line.front() + " "), std::string::npos) << line.front();
    }
}

TEST(CommandMessages, SettingsAreCheckedWithoutANode)
{
    text_file good("[node]\nname = \"desk-1\"\navailability_zone = \"bangsar\"\n");
    auto checked = runCommand({ "check-settings", good.path() });
    EXPECT_EQ(checked.exitCode, 0);
    EXPECT_NE(checked.text.find("name = \"desk-1\"\n"), std::string::npos) << checked.text;
    text_file again(checked.text);
    EXPECT_EQ(runCommand({ "check-settings", again.path() }).text, checked.text);

    text_file bad("[node]\nname = \"desk-1\"\n");
    auto errors = runForErrors({ "check-settings", bad.path() });
    EXPECT_EQ(errors.exitCode, refused);
    EXPECT_EQ(errors.text.rfind(bad.path() + ":1: ", 0), 0U) << errors.text;
    EXPECT_EQ(runForErrors({ "node", bad.path() }).exitCode, usage);
}

TEST(CommandMessages, ContractsAreCheckedAndExplainedWithoutANode)
{
    const std::string seri = EXAMPLES "/hotel/contract-hotel-seri.toml";
    auto checked = runCommand({ "contract", "check", seri });
    EXPECT_EQ(checked.exitCode, 0);
    EXPECT_EQ(checked.text, seri + ": the contract of customer 'hotel-seri' is in order\n");
    auto explained = runCommand({ "contract", "explain", seri });
    EXPECT_EQ(explained.exitCode, 0);
    EXPECT_EQ(explained.text.rfind("customer hotel-seri", 0), 0U) << explained.text;

    auto twice = runForErrors({ "contract", "check", seri, seri });
    EXPECT_EQ(twice.exitCode, refused);
    EXPECT_EQ(twice.text, "vanillashunt contract check: '" + seri + "' and '" + seri + "' are both of customer 'hotel-seri'; name one of them\n");

    auto text = readText(seri);
    text.replace(text.find("hotel-seri"), 10, "hotel-more");
    text.replace(text.find("share = 0.4"), 11, "share = 0.7");
    text_file greedy(text);
    auto errors = runForErrors({ "contract", "check", seri, greedy.path() });
    EXPECT_EQ(errors.exitCode, refused);
    EXPECT_NE(errors.text.find(greedy.path() + ":"), std::string::npos) << errors.text;
    text_file broken("customer = 3\n");
    EXPECT_EQ(runForErrors({ "contract", "check", broken.path() }).exitCode, refused);
}

TEST(CommandMessages, TheVersionIsOneLine)
{
    auto version = runCommand({ "version" });
    EXPECT_EQ(version.exitCode, 0);
    EXPECT_EQ(version.text.rfind("vanillashunt ", 0), 0U);
    EXPECT_EQ(version.text.find('\n'), version.text.size() - 1);
}

}
