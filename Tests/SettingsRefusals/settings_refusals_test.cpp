#include "contract/toml_node.h"
#include "settings/format_settings.h"
#include "settings/parse_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using ::testing::ElementsAre;

    const std::string node = "[node]\nname = \"threads-1\"\navailability_zone = \"cyberjaya\"\n";

    // Good settings with one key more.
    std::string withKey(const std::string& section, const std::string& key, const std::string& value)
    {
        std::string text = node;
        return text.append("[").append(section).append("]\n").append(key).append(" = ").append(value).append("\n");
    }

    std::vector<std::string> refusals(const std::string& text)
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

TEST(SettingsRefusals, FillsInTheDefaults)
{
    EXPECT_EQ(formatSettings(std::get<node_settings>(parseSettings(node, "s.toml"))),
        "[node]\nname = \"threads-1\"\navailability_zone = \"cyberjaya\"\nregion = \"\"\nmesh = \"\"\noutgoing_address = \"\"\nlog_level = \"info\"\npolicy = \"full\"\n"
        "\n[caller]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\n"
        "\n[backend]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\n"
        "\n[peer]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\njoin = []\n"
        "\n[operators]\nlisten = \"127.0.0.1:0\"\nadvertise = \"\"\n"
        "\n[platform]\nendpoints = []\n"
        "\n[limits]\nmax_body = \"1MiB\"\ndrain_timeout = \"30s\"\n");
}

TEST(SettingsRefusals, TellsEveryProblemAtOnce)
{
    EXPECT_THAT(refusals("node = 3\n"),
        ElementsAre("s.toml: [node]: name is missing; add it, for example name = \"threads-1\"",
            "s.toml: [node]: availability_zone is missing; add it, for example availability_zone = \"cyberjaya\"",
            "s.toml:1: node is 3, but has to be a table; begin it with a line [node]"));
    EXPECT_THAT(refusals("[node]\nname = \"a b\"\navailabilty_zone = \"x\"\nlog_level = \"loud\"\npolicy = \"half\"\noutgoing_address = \"192.0.2.1:80\"\n"
                         "[limits]\nmax_body = 3\ndrain_timeout = \"11min\"\nqueue = 1\n[nodes]\n"),
        ElementsAre("s.toml:1: [node]: availability_zone is missing; add it, for example availability_zone = \"cyberjaya\"",
            "s.toml:2: [node]: name is \"a b\", but has to be 1 to 63 of a-z, A-Z, 0-9, \"-\", \"_\" and \".\"; write for example name = \"threads-1\"",
            "s.toml:3: [node]: unknown key \"availabilty_zone\"; did you mean \"availability_zone\"?",
            "s.toml:4: [node]: log_level is \"loud\", but has to be one of \"debug\", \"info\", \"warning\", \"error\"; write for example log_level = \"info\"",
            "s.toml:5: [node]: policy is \"half\", but has to be one of \"full\", \"hop\", \"none\"; write for example policy = \"full\"",
            "s.toml:6: [node]: outgoing_address is \"192.0.2.1:80\", but has to be empty or an IP address in numbers, without a port; write for example outgoing_address = \"192.0.2.10\"",
            "s.toml:8: [limits]: max_body is 3, but has to be a size from 1KiB to 64MiB, in whole B, KiB or MiB; write for example max_body = \"1MiB\"",
            "s.toml:9: [limits]: drain_timeout is \"11min\", but has to be a duration from 0ms to 10min, in whole ms, s or min; write for example drain_timeout = \"30s\"",
            "s.toml:10: [limits]: unknown key \"queue\"; known here are \"max_body\", \"drain_timeout\"",
            "s.toml:11: unknown key \"nodes\"; did you mean \"node\"?"));
}

TEST(SettingsRefusals, TellsAddressesThatLeadNowhere)
{
    EXPECT_THAT(refusals(node + "[caller]\nlisten = \"localhost:80\"\nadvertise = \"0.0.0.0:3\"\n[peer]\nlisten = \"0.0.0.0:7000\"\njoin = [\"192.0.2.1:1\",\n 3]\n[operators]\nlisten = \"127.0.0.1:7000\"\n"),
        ElementsAre("s.toml:5: [caller]: listen is \"localhost:80\", but has to be \"IP:port\" with the address in numbers, IPv6 in brackets; write for example listen = \"192.0.2.10:7000\"",
            "s.toml:6: [caller]: advertise is \"0.0.0.0:3\", but has to be empty or \"IP:port\" with the address in numbers, IPv6 in brackets, and neither the address nor the port 0; write for example advertise = \"192.0.2.10:7000\"",
            "s.toml:8: [peer]: listen is \"0.0.0.0:7000\", which other nodes can't reach; name their way in, for example advertise = \"192.0.2.10:7000\"",
            "s.toml:10: [peer]: join holds 3, but each item has to be \"IP:port\" with the address in numbers, IPv6 in brackets, and neither the address nor the port 0; write for example join = [\"192.0.2.11:7002\"]",
            "s.toml:12: [operators]: listen is \"127.0.0.1:7000\", a port that [peer] takes already; give each section a port of its own"));
}

TEST(SettingsRefusals, TellsZonesThatShareNoLimit)
{
    const std::string routes = node + "[routes]\nservice = \"a\"\nserver = \"192.0.2.1:80\"\nquota_slack = 20\nzones = ";
    const std::string problem = "s.toml:8: [routes]: zones has to name each availability zone once, and \"cyberjaya\" of [node] among them";
    EXPECT_THAT(refusals(routes + "[\"bangsar\", \"cyberjaya\"]\n"), ElementsAre());
    EXPECT_THAT(refusals(routes + "[]\n"), ElementsAre());
    EXPECT_THAT(refusals(routes + "[\"bangsar\"]\n"), ElementsAre(problem));
    EXPECT_THAT(refusals(routes + "[\"cyberjaya\", \"cyberjaya\"]\n"), ElementsAre(problem));
    EXPECT_EQ(refusals(node + "[routes]\nservice = \"a\"\nserver = \"192.0.2.1:80\"\nquota_slack = -1\n").size(), 1U);
}

TEST(SettingsRefusals, TakesAddressesInNumbersOnly)
{
    for (const std::string good : { "127.0.0.1:0", "192.0.2.1:65535", "[::1]:0", "[2001:db8::10]:7000", "[::ffff:192.0.2.1]:1" }) {
        EXPECT_THAT(refusals(withKey("caller", "listen", quoteToml(good))), ElementsAre()) << good;
    }
    for (const auto& bad : std::vector<std::string> { "", ":80", "192.0.2.1", "192.0.2.1:", "192.0.2.1:65536", "192.0.2.1:-1", "192.0.2.1:+1", "192.0.2.256:1", "192.0.2:1", "::1:80", "[::1]", "[::1:80", "[]:80", "[192.0.2.1]:80", "[::1%lo]:80", "192.0.2.1:80 ", "host:80", std::string("192.0.2.1\0:80", 13) }) {
        EXPECT_EQ(refusals(withKey("caller", "listen", quoteToml(bad))).size(), 1U) << bad;
    }
    for (const std::string bad : { "\"192.0.2.1:0\"", "\"[::]:80\"", "[\"192.0.2.1:80\"]", "7" }) {
        EXPECT_EQ(refusals(withKey("caller", "advertise", bad)).size(), 1U) << bad;
        EXPECT_EQ(refusals(withKey("platform", "endpoints", "[" + bad + "]")).size(), 1U) << bad;
    }
}

}
