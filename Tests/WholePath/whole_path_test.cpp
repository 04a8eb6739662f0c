#include "Harness/contract_texts.h"
#include "Harness/mesh.h"

#include <gtest/gtest.h>

#include <csignal>

namespace vanillashunt {

namespace {

    // Three zones; a desk reply calls stay, which calls templates: three deep.
    void startHotel(mesh& hotel)
    {
        hotel.putContract("hotel-seri", threadsAndDeskContract());
        for (const std::string zone : { "cyberjaya", "shah-alam", "bangsar" }) {
            hotel.add({ "threads-" + zone, "threads", zone, { "--calls", "profiles:/guest:GET", "--service-ms", "2" }, "" });
            hotel.add({ "desk-" + zone, "desk", zone, { "--calls", "stay:/room:GET,profiles:/guest:GET", "--service-ms", "2" }, "" });
            hotel.add({ "stay-" + zone, "stay", zone, { "--calls", "templates:/stay:GET", "--service-ms", "2" }, "" });
            hotel.add({ "profiles-" + zone, "profiles", zone, { "--service-ms", "1" }, "" });
            hotel.add({ "templates-" + zone, "templates", zone, { "--service-ms", "1" }, "" });
        }
    }

    http_fields guest(const std::string& nonce)
    {
        return { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", nonce }, { "Vanillashunt-Attempt", "1" } };
    }

    http_answer answerOf(const http_result& result)
    {
        if (const auto* error = std::get_if<http_error>(&result)) {
            ADD_FAILURE() << error->message;
            return {};
        }
        return std::get<http_answer>(result);
    }

    bool isServing(mesh& hotel)
    {
        return hotel.waitUntilServing("/threads/history/1", guest("warm-up"))
            && waitUntil([&] {
                   auto result = request("POST", hotel.server("threads-bangsar").caller(), "/desk/reply/0", guest("warm-up"));
                   auto* answer = std::get_if<http_answer>(&result);
                   return answer && answer->status == 200;
               });
    }

}

TEST(WholePath, AReadPassesTwoServices)
{
    mesh hotel;
    startHotel(hotel);
    ASSERT_TRUE(isServing(hotel));
    auto answer = answerOf(request("GET", hotel.server("desk-bangsar").caller(), "/threads/history/7", guest("n1")));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.field("Vanillashunt-Verdict"), "ran");
    auto tree = parseJson(answer.body);
    EXPECT_EQ(tree["service"], "threads");
    EXPECT_EQ(tree["nonce"], "n1");
    ASSERT_EQ(tree["children"].size(), 1U);
    EXPECT_EQ(tree["children"][0]["service"], "profiles");
    EXPECT_EQ(tree["children"][0]["nonce"], "n1");
    EXPECT_EQ(tree["children"][0]["request_id"], tree["request_id"]);
}

TEST(WholePath, AReplyPassesThreeDeep)
{
    mesh hotel;
    startHotel(hotel);
    ASSERT_TRUE(isServing(hotel));
    auto answer = answerOf(request("POST", hotel.server("threads-shah-alam").caller(), "/desk/reply/7", guest("n2"), "late checkout"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.field("Vanillashunt-Verdict"), "ran");
    auto tree = parseJson(answer.body);
    ASSERT_EQ(tree["children"].size(), 2U);
    EXPECT_EQ(tree["children"][0]["service"], "stay");
    ASSERT_EQ(tree["children"][0]["children"].size(), 1U);
    EXPECT_EQ(tree["children"][0]["children"][0]["service"], "templates");
}

TEST(WholePath, WhatNoContractNamesIsRefusedUnrun)
{
    mesh hotel;
    startHotel(hotel);
    ASSERT_TRUE(isServing(hotel));
    auto node = hotel.server("desk-bangsar").caller();
    auto stranger = answerOf(request("GET", node, "/threads/history/7", { { "Vanillashunt-Customer", "nobody" } }));
    EXPECT_EQ(stranger.status, 404U);
    EXPECT_EQ(stranger.field("Vanillashunt-Reason"), "unknown_customer");
    EXPECT_EQ(stranger.field("Vanillashunt-Verdict"), "not_run");
    auto noClass = answerOf(request("GET", node, "/threads/other", guest("n3")));
    EXPECT_EQ(noClass.field("Vanillashunt-Reason"), "unknown_class");
    auto badField = answerOf(request("GET", node, "/threads/history", { { "Vanillashunt-Timeout", "soon" } }));
    EXPECT_EQ(badField.status, 400U);
}

TEST(WholePath, ANodeStopsGracefully)
{
    mesh hotel;
    startHotel(hotel);
    ASSERT_TRUE(isServing(hotel));
    auto end = hotel.stopNode("desk-bangsar");
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
}

}
