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

    // One node with a backend server and one organisation with a key.
    struct keyed_node {
        keyed_node()
        {
            platform.putConfiguration(documentOf(1, organisationOf("guests", R"("key-guests")")));
            node = std::make_unique<routed_node>(routed_node_plan { "desk-1", "desk", platform.storeAddress(), platform.serverAddress(), {} });
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

        // Returns the status of the answer; checks that the server ran nothing and that the answer
        // contains no key.
        std::string refusal(const std::string& fields, const std::string& rest = "\r\n")
        {
            auto before = platform.runs();
            auto answer = send("", fields, rest);
            EXPECT_EQ(platform.runs(), before) << fields;
            EXPECT_EQ(answer.find("key-"), std::string::npos);
            return answer.substr(9, 3);
        }

        platform_world platform;
        std::unique_ptr<routed_node> node;
        int requests = 0;
    };

    bool holdsKey(const http_request& request)
    {
        auto isKey = [](const http_field& field) { return equalIgnoringCase(field.name, "Api-Key") || field.value.find("key-guests") != std::string::npos; };
        return std::any_of(request.fields.begin(), request.fields.end(), isKey);
    }

}

TEST(OrganisationKeysOnTheWire, AreReplacedByTheOrganisationsName)
{
    keyed_node harness;
    auto answer = harness.send("", "Vanillashunt-Tenant: forged\r\napi-KEY: \t key-guests \r\nvanillashunt-tenant: forged too\r\n");
    EXPECT_EQ(answer.substr(9, 3), "200");
    auto run = harness.platform.waitForRuns(1);
    EXPECT_FALSE(holdsKey(run));
    auto isName = [](const http_field& field) { return equalIgnoringCase(field.name, "Vanillashunt-Tenant"); };
    EXPECT_EQ(std::count_if(run.fields.begin(), run.fields.end(), isName), 1);
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Tenant"), "guests");
}

TEST(OrganisationKeysOnTheWire, AreAcceptedInOneFormOnly)
{
    keyed_node harness;
    EXPECT_EQ(harness.refusal(""), "401");
    EXPECT_EQ(harness.refusal("Api-Key: key-Guests\r\n"), "401");
    EXPECT_EQ(harness.refusal("Api-Key: Bearer key-guests\r\n"), "401");
    EXPECT_EQ(harness.refusal("Api-Key: key-guests, key-guests\r\n"), "401");
    EXPECT_EQ(harness.refusal("Api-Key: key-guests\r\nApi-Key: key-guests\r\n"), "400");
    EXPECT_EQ(harness.refusal("Api-Key: key-other\r\nApi-Key: key-guests\r\n"), "400");
    EXPECT_EQ(harness.refusal("Api-Key : key-guests\r\n"), "400");
    EXPECT_EQ(harness.refusal("Api-Key: key-gu\r\n ests\r\n"), "401");
    EXPECT_EQ(harness.refusal("Api-Key:\r\nX-Api-Key: key-guests\r\n"), "401");
    EXPECT_EQ(harness.refusal("Connection: Api-Key\r\nApi-Key: key-guests\r\n"), "401");
}

// A trailer comes too late to identify the sender and is not passed on to a server.
TEST(OrganisationKeysOnTheWire, AreIgnoredInATrailer)
{
    keyed_node harness;
    const std::string chunks = "\r\n3\r\nabc\r\n0\r\nApi-Key: key-guests\r\nVanillashunt-Tenant: forged\r\n\r\n";
    EXPECT_EQ(harness.refusal("Transfer-Encoding: chunked\r\nTrailer: Api-Key\r\n", chunks), "401");
    auto answer = harness.send("", "Transfer-Encoding: chunked\r\nApi-Key: key-guests\r\n", chunks);
    EXPECT_EQ(answer.substr(9, 3), "200");
    auto run = harness.platform.waitForRuns(1);
    EXPECT_FALSE(holdsKey(run));
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Tenant"), "guests");
}

// Each request is judged by its own key, also if several requests are pipelined on one connection.
TEST(OrganisationKeysOnTheWire, ApplyToOneRequestOnly)
{
    keyed_node harness;
    auto before = harness.platform.runs();
    auto socket = raw_socket::connectTo(harness.node->port("caller"));
    const std::string head = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Deadline-Ms: 20000\r\nVanillashunt-Request-Id: ";
    socket.send(head + "p1\r\nApi-Key: key-guests\r\n\r\n" + head + "p2\r\n\r\n" + head + "p3\r\nApi-Key: key-guests\r\nConnection: close\r\n\r\n");
    auto answers = socket.readToEnd();
    EXPECT_NE(answers.find("HTTP/1.1 401"), std::string::npos);
    EXPECT_EQ(harness.platform.runs(), before + 2);
}

TEST(OrganisationKeysOnTheWire, AreNeededForAnAbsoluteTarget)
{
    keyed_node harness;
    auto before = harness.platform.runs();
    EXPECT_NE(harness.send("http://a.example/x/1", "").substr(9, 3), "200");
    EXPECT_EQ(harness.platform.runs(), before);
}

// Keys are added and removed with the next version of the configuration, without a restart.
TEST(OrganisationKeysOnTheWire, ChangeWithTheVersion)
{
    keyed_node harness;
    harness.platform.putConfiguration(documentOf(2, organisationOf("guests", R"("key-new")")));
    while (harness.send("", "Api-Key: key-new\r\n").substr(9, 3) != "200") { }
    EXPECT_EQ(harness.refusal("Api-Key: key-guests\r\n"), "401");
}

}
