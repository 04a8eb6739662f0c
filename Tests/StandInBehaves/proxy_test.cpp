#include "Harness/http_client.h"
#include "Harness/stand_in.h"

#include <gtest/gtest.h>

#include <future>

namespace vanillashunt {

namespace {

    using namespace std::chrono_literals;

    class proxy_test : public testing::Test {
    protected:
        proxy_test()
        {
            proxy.control(R"({"upstream":{"name":"one","address":")" + backend.address() + "\"}}");
        }

        http_result ask(const std::string& nonce, std::chrono::milliseconds timeout = 20s) const
        {
            return request("GET", link, "/path", { { "X-Nonce", nonce } }, "", timeout);
        }

        // The nonce in a whole answer; empty where there is none.
        std::string nonceOf(const http_result& result) const
        {
            const auto* answer = std::get_if<http_answer>(&result);
            return answer ? parseJson(answer->body)["nonce"].asString() : "";
        }

        stand_in backend { { "backend", "--slots", "8", "--answer-bytes", "20000" } };
        stand_in proxy { { "proxy" } };
        std::string link = proxy.control(R"({"add":{"name":"one","zone":"Bangsar"}})")["address"].asString();
    };

}

TEST_F(proxy_test, CutHoldsBackUntilItEnds)
{
    EXPECT_EQ(nonceOf(ask("before")), "before");
    auto cut = proxy.control(R"({"cut":{"from_zone_sources":["127.0.0."],"to":["one"]}})")["rule"].asString();
    auto held = std::async(std::launch::async, [this] { return ask("held"); });
    EXPECT_TRUE(std::get<http_error>(ask("cut", 50ms)).isTimeout);
    EXPECT_EQ(backend.read("/control/runs")["runs"].size(), 1U);
    proxy.control(R"({"clear":)" + cut + "}");
    EXPECT_EQ(nonceOf(held.get()), "held");
}

TEST_F(proxy_test, CutOfOtherSourcesOrZonesChangesNothing)
{
    proxy.control(R"({"cut":{"from_zone_sources":["127.0.1."],"to":["one"]}})");
    proxy.control(R"({"cut":{"to_zones":["Cyberjaya"]}})");
    EXPECT_EQ(nonceOf(ask("own")), "own");
    proxy.control(R"({"cut":{"to_zones":["Bangsar"],"reject":true}})");
    EXPECT_FALSE(std::get<http_error>(ask("rejected")).isTimeout);
}

TEST_F(proxy_test, HalfCloseEndsAnAnswerInItsBodyOnce)
{
    proxy.control(R"({"half_close_after_bytes":5000,"to":"one","times":1})");
    auto broken = std::get<http_error>(ask("broken"));
    EXPECT_GT(broken.partialBody.size(), 4000U);
    EXPECT_LT(broken.partialBody.size(), 5000U);
    EXPECT_EQ(nonceOf(ask("whole")), "whole");
}

TEST_F(proxy_test, SwapCrossesTwoAnswers)
{
    proxy.control(R"({"swap_answers":true})");
    auto first = std::async(std::launch::async, [this] { return ask("first"); });
    EXPECT_EQ(nonceOf(ask("second")), "first");
    EXPECT_EQ(nonceOf(first.get()), "second");
}

TEST_F(proxy_test, LoadToolTellsWrongAnswersFromItsOwn)
{
    auto run = [this] {
        child_process load({ STANDIN_PATH, "load", "--targets", link, "--rate", "200", "--seconds", "0.3", "--mix", "name=read,path=/path,tree=1,timeout_ms=500" });
        load.readReady();
        for (;;) {
            auto line = parseJson(std::get<std::string>(load.readLine(60s)));
            if (line.isMember("summary")) {
                return line["summary"];
            }
        }
    };
    auto own = run();
    EXPECT_GT(own["offered"].asInt(), 0);
    EXPECT_EQ(own["succeeded"], own["offered"]);
    proxy.control(R"({"swap_answers":true})");
    EXPECT_GT(run()["wrong"].asInt(), 0);
}

}
