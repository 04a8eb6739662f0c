#include "routes/route_table.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    route routeTo(const std::string& name, const std::string& host, const std::string& prefix)
    {
        route result;
        result.name = name;
        result.host = host;
        result.prefix = prefix;
        result.destinations = { { "threads", 1 } };
        return result;
    }

    route_table tableOf(const std::vector<route>& routes)
    {
        auto configuration = std::make_shared<route_configuration>();
        configuration->routes = routes;
        return route_table(configuration);
    }

    std::string nameOf(const route* found)
    {
        return found ? found->name : "none";
    }

}

TEST(RouteTable, ChoosesTheLongestPrefixOfTheHost)
{
    auto table = tableOf({ routeTo("short", "a.example", "/x/"), routeTo("long", "a.example", "/x/y/"), routeTo("other", "b.example", "/x/y/z/") });
    EXPECT_EQ(nameOf(table.find("a.example", "/x/y/z/1")), "long");
    EXPECT_EQ(nameOf(table.find("a.example", "/x/1")), "short");
    EXPECT_EQ(nameOf(table.find("b.example", "/x/y/1")), "none");
}

TEST(RouteTable, IgnoresTheCaseAndThePortOfTheHost)
{
    auto table = tableOf({ routeTo("one", "A.example", "/x/") });
    EXPECT_EQ(nameOf(table.find("a.EXAMPLE:8080", "/x/1")), "one");
}

TEST(RouteTable, IgnoresTheQuery)
{
    auto table = tableOf({ routeTo("one", "a.example", "/x/y/") });
    EXPECT_EQ(nameOf(table.find("a.example", "/x?to=/x/y/")), "none");
    EXPECT_EQ(nameOf(table.find("a.example", "/x/y")), "none");
}

}
