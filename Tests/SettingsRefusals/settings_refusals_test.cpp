#include "contract/toml_node.h"
#include "settings/format_settings.h"
#include "settings/parse_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using ::testing::ElementsAre;

    const std::string nodeSection = "[node]\nname = \"threads-1\"\navailability_zone = \"cyberjaya\"\n";

    // Valid settings with one additional key.
    std::string withKey(const std::string& section, const std::string& key, const std::string& value)
    {
        std::string text = nodeSection;
        return text.append("[").append(section).append("]\n").append(key).append(" = ").append(value).append("\n");
    }

    std::vector<std::string> reportedProblems(const std::string& text)
    {
        auto result = parseSettings(text, "s.toml");
        std::vector<std::string> lines;
        if (const auto* problems = std::get_if<std::vector<text_problem>>(&result)) {
            for (const auto& problem : *problems) {
                lines.push_back(toString(problem));
            }
        }
        return lines;
    }

}

TEST(SettingsRefusals, FillsInDefaults)
{
    EXPECT_EQ(formatSettings(std::get<node_settings>(parseSettings(nodeSection, "s.toml"))),
        "[node]\nname = \"threads-1\"\navailability_zone = \"cyberjaya\"\nregion = \"\"\nmesh = \"\"\noutgoing_address = \"\"\nlog_level = \"info\"\npolicy = \"full\"\n"
        "\n[caller]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\n"
        "\n[backend]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\n"
        "\n[peer]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\njoin = []\n"
        "\n[operators]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\n"
        "\n[platform]\nendpoints = []\n"
        "\n[limits]\nmax_body = \"1MiB\"\nmemory = \"256MiB\"\ndrain_timeout = \"30s\"\n");
}

TEST(SettingsRefusals, ReportsEveryProblemAtOnce)
{
    EXPECT_THAT(reportedProblems("node = 3\n"),
        ElementsAre("s.toml: [node]: name is missing; add it, for example name = \"threads-1\"",
            "s.toml: [node]: availability_zone is missing; add it, for example availability_zone = \"cyberjaya\"",
            "s.toml:1: node is 3, but has to be a table; begin it with a line [node]"));
    EXPECT_THAT(reportedProblems("[node]\nname = \"a b\"\navailabilty_zone = \"x\"\nlog_level = \"loud\"\npolicy = \"half\"\noutgoing_address = \"192.0.2.1:80\"\n"
                                 "[limits]\nmax_body = 3\nmemory = \"1MiB\"\ndrain_timeout = \"11min\"\nqueue = 1\n[nodes]\n"),
        ElementsAre("s.toml:1: [node]: availability_zone is missing; add it, for example availability_zone = \"cyberjaya\"",
            "s.toml:2: [node]: name is \"a b\", but has to be 1 to 63 characters from a-z, A-Z, 0-9, \"-\", \"_\" and \".\"; write for example name = \"threads-1\"",
            "s.toml:3: [node]: unknown key \"availabilty_zone\"; did you mean \"availability_zone\"?",
            "s.toml:4: [node]: log_level is \"loud\", but has to be one of \"debug\", \"info\", \"warning\", \"error\"; write for example log_level = \"info\"",
            "s.toml:5: [node]: policy is \"half\", but has to be one of \"full\", \"hop\", \"none\"; write for example policy = \"full\"",
            "s.toml:6: [node]: outgoing_address is \"192.0.2.1:80\", but has to be empty or a numeric IP address without a port; write for example outgoing_address = \"192.0.2.10\"",
            "s.toml:8: [limits]: max_body is 3, but has to be a size from 1KiB to 64MiB, in whole B, KiB or MiB; write for example max_body = \"1MiB\"",
            "s.toml:9: [limits]: memory is \"1MiB\", but has to be a size from 64MiB to 1048576MiB, in whole B, KiB or MiB; write for example memory = \"256MiB\"",
            "s.toml:10: [limits]: drain_timeout is \"11min\", but has to be a duration from 0ms to 10min, in whole ms, s or min; write for example drain_timeout = \"30s\"",
            "s.toml:11: [limits]: unknown key \"queue\"; known keys are \"max_body\", \"memory\", \"drain_timeout\"",
            "s.toml:12: unknown key \"nodes\"; did you mean \"node\"?"));
}

TEST(SettingsRefusals, ReportsUnusableAddresses)
{
    EXPECT_THAT(reportedProblems(nodeSection + "[caller]\nlisten = \"localhost:80\"\nadvertise = \"0.0.0.0:3\"\n[peer]\nlisten = \"0.0.0.0:7000\"\njoin = [\"192.0.2.1:1\",\n 3]\n[operators]\nlisten = \"127.0.0.1:7000\"\n"),
        ElementsAre("s.toml:5: [caller]: listen is \"localhost:80\", but has to be \"IP:port\" with a numeric address, IPv6 in brackets; write for example listen = \"192.0.2.10:7000\"",
            "s.toml:6: [caller]: advertise is \"0.0.0.0:3\", but has to be empty or \"IP:port\" with a numeric address, IPv6 in brackets, not an unspecified address and not port 0; write for example advertise = \"192.0.2.10:7000\"",
            "s.toml:8: [peer]: listen is \"0.0.0.0:7000\", which other nodes can't reach; name an address that they can reach, for example advertise = \"192.0.2.10:7000\"",
            "s.toml:10: [peer]: join holds 3, but each item has to be \"IP:port\" with a numeric address, IPv6 in brackets, not an unspecified address and not port 0; write for example join = [\"192.0.2.11:7002\"]",
            "s.toml:12: [operators]: listen is \"127.0.0.1:7000\", a port that is already used by [peer]; give each section its own port"));
}

TEST(SettingsRefusals, ReportsInvalidZoneLists)
{
    const std::string routes = nodeSection + "[routes]\nservice = \"a\"\nserver = \"192.0.2.1:80\"\nquota_slack = 20\nzones = ";
    const std::string problem = "s.toml:8: [routes]: zones has to name each availability zone once, including \"cyberjaya\" from [node]";
    EXPECT_THAT(reportedProblems(routes + "[\"bangsar\", \"cyberjaya\"]\n"), ElementsAre());
    EXPECT_THAT(reportedProblems(routes + "[]\n"), ElementsAre());
    EXPECT_THAT(reportedProblems(routes + "[\"bangsar\"]\n"), ElementsAre(problem));
    EXPECT_THAT(reportedProblems(routes + "[\"cyberjaya\", \"cyberjaya\"]\n"), ElementsAre(problem));
    EXPECT_EQ(reportedProblems(nodeSection + "[routes]\nservice = \"a\"\nserver = \"192.0.2.1:80\"\nquota_slack = -1\n").size(), 1U);
}

TEST(SettingsRefusals, AcceptsNumericAddressesOnly)
{
    for (const std::string valid : { "127.0.0.1:0", "192.0.2.1:65535", "[::1]:0", "[2001:db8::10]:7000", "[::ffff:192.0.2.1]:1" }) {
        EXPECT_THAT(reportedProblems(withKey("caller", "listen", quoteToml(valid))), ElementsAre()) << valid;
    }
    for (const auto& invalid : std::vector<std::string> { "", ":80", "192.0.2.1", "192.0.2.1:", "192.0.2.1:65536", "192.0.2.1:-1", "192.0.2.1:+1", "192.0.2.256:1", "192.0.2:1", "::1:80", "[::1]", "[::1:80", "[]:80", "[192.0.2.1]:80", "[::1%lo]:80", "192.0.2.1:80 ", "host:80", std::string("192.0.2.1\0:80", 13) }) {
        EXPECT_EQ(reportedProblems(withKey("caller", "listen", quoteToml(invalid))).size(), 1U) << invalid;
    }
    for (const std::string invalid : { "\"192.0.2.1:0\"", "\"[::]:80\"", "[\"192.0.2.1:80\"]", "7" }) {
        EXPECT_EQ(reportedProblems(withKey("caller", "advertise", invalid)).size(), 1U) << invalid;
        EXPECT_EQ(reportedProblems(withKey("platform", "endpoints", "[" + invalid + "]")).size(), 1U) << invalid;
    }
}

}
