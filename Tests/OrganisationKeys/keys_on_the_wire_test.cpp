#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace vanillashunt {

namespace {

    std::string documentOf(int version, const std::string& organisations)
    {
        return R"({"version":"r)" + std::to_string(version) + R"(","resources":[{"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/",
            "kind":"idempotent","timeout_s":20,"target_latency_s":1,"priority":0,"service":"desk","max_attempts":2,"public":false}})"
            + organisations + "]}";
    }

    std::string organisationOf(const std::string& name, const std::string& keys, const std::string& more = "")
    {
        return R"(,{"type":"tenants","metadata":{"name":")" + name + R"("},"spec":{"api_keys":[)" + keys + "]" + more + "}}";
    }

    // One node with its server, and an organisation that has a key.
    struct keyed_node {
        keyed_node()
        {
            world.putConfiguration(documentOf(1, organisationOf("guests", R"("key-guests")")));
            node = std::make_unique<routed_node>(routed_node_plan { "desk-1", "desk", world.storeAddress(), world.serverAddress(), {} });
            node->report("ready", 1, "desk");
            while (send("", "Api-Key: key-guests\r\n").substr(9, 3) != "200") { }
        }

        std::string send(const std::string& target, const std::string& fields, const std::string& rest = "\r\n")
        {
            auto socket = raw_socket::connectTo(node->port("caller"));
            socket.send("GET " + (target.empty() ? "/x/1" : target) + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: k" + std::to_string(++requests)
                + "\r\nVanillashunt-Deadline-Ms: 20000\r\nConnection: close\r\n" + fields + rest);
            return socket.readToEnd();
        }

        // Status of the answer, and that nothing has run.
        std::string refusal(const std::string& fields, const std::string& rest = "\r\n")
        {
            auto before = world.runs();
            auto answer = send("", fields, rest);
            EXPECT_EQ(world.runs(), before) << fields;
            EXPECT_EQ(answer.find("key-"), std::string::npos);
            return answer.substr(9, 3);
        }

        platform_world world;
        std::unique_ptr<routed_node> node;
        int requests = 0;
    };

    bool holdsKey(const http_request& request)
    {
        auto isKey = [](const http_field& field) { return equalIgnoringCase(field.name, "Api-Key") || field.value.find("key-guests") != std::string::npos; };
        return std::any_of(request.fields.begin(), request.fields.end(), isKey);
    }

}

TEST(OrganisationKeysOnTheWire, BecomeTheOrganisationsName)
{
    keyed_node world;
    auto answer = world.send("", "Vanillashunt-Tenant: forged\r\napi-KEY: \t key-guests \r\nvanillashunt-tenant: forged too\r\n");
    EXPECT_EQ(answer.substr(9, 3), "200");
    auto run = world.world.waitForRuns(1);
    EXPECT_FALSE(holdsKey(run));
    auto isName = [](const http_field& field) { return equalIgnoringCase(field.name, "Vanillashunt-Tenant"); };
    EXPECT_EQ(std::count_if(run.fields.begin(), run.fields.end(), isName), 1);
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Tenant"), "guests");
}

TEST(OrganisationKeysOnTheWire, AreReadInOneWayOnly)
{
    keyed_node world;
    EXPECT_EQ(world.refusal(""), "401");
    EXPECT_EQ(world.refusal("Api-Key: key-Guests\r\n"), "401");
    EXPECT_EQ(world.refusal("Api-Key: Bearer key-guests\r\n"), "401");
    EXPECT_EQ(world.refusal("Api-Key: key-guests, key-guests\r\n"), "401");
    EXPECT_EQ(world.refusal("Api-Key: key-guests\r\nApi-Key: key-guests\r\n"), "400");
    EXPECT_EQ(world.refusal("Api-Key: key-other\r\nApi-Key: key-guests\r\n"), "400");
    EXPECT_EQ(world.refusal("Api-Key : key-guests\r\n"), "400");
    EXPECT_EQ(world.refusal("Api-Key: key-gu\r\n ests\r\n"), "401");
    EXPECT_EQ(world.refusal("Api-Key:\r\nX-Api-Key: key-guests\r\n"), "401");
    EXPECT_EQ(world.refusal("Connection: Api-Key\r\nApi-Key: key-guests\r\n"), "401");
}

// What comes behind a body comes too late to say who asks, and reaches no server.
TEST(OrganisationKeysOnTheWire, InATrailerCountForNothing)
{
    keyed_node world;
    const std::string chunks = "\r\n3\r\nabc\r\n0\r\nApi-Key: key-guests\r\nVanillashunt-Tenant: forged\r\n\r\n";
    EXPECT_EQ(world.refusal("Transfer-Encoding: chunked\r\nTrailer: Api-Key\r\n", chunks), "401");
    auto answer = world.send("", "Transfer-Encoding: chunked\r\nApi-Key: key-guests\r\n", chunks);
    EXPECT_EQ(answer.substr(9, 3), "200");
    auto run = world.world.waitForRuns(1);
    EXPECT_FALSE(holdsKey(run));
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Tenant"), "guests");
}

// Each request is judged by its own key, also behind another's on one connection.
TEST(OrganisationKeysOnTheWire, AreOfOneRequestOnly)
{
    keyed_node world;
    auto before = world.world.runs();
    auto socket = raw_socket::connectTo(world.node->port("caller"));
    const std::string head = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Deadline-Ms: 20000\r\nVanillashunt-Request-Id: ";
    socket.send(head + "p1\r\nApi-Key: key-guests\r\n\r\n" + head + "p2\r\n\r\n" + head + "p3\r\nApi-Key: key-guests\r\nConnection: close\r\n\r\n");
    auto answers = socket.readToEnd();
    EXPECT_NE(answers.find("HTTP/1.1 401"), std::string::npos);
    EXPECT_EQ(world.world.runs(), before + 2);
}

TEST(OrganisationKeysOnTheWire, OfATargetWithAHostAreNoWayAround)
{
    keyed_node world;
    auto before = world.world.runs();
    EXPECT_NE(world.send("http://a.example/x/1", "").substr(9, 3), "200");
    EXPECT_EQ(world.world.runs(), before);
}

// A key that is taken away or added counts by the next version, without another start.
TEST(OrganisationKeysOnTheWire, ChangeWithTheVersion)
{
    keyed_node world;
    world.world.putConfiguration(documentOf(2, organisationOf("guests", R"("key-new")")));
    while (world.send("", "Api-Key: key-new\r\n").substr(9, 3) != "200") { }
    EXPECT_EQ(world.refusal("Api-Key: key-guests\r\n"), "401");
}

}
