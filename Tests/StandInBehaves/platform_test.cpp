#include "Harness/http_client.h"
#include "Harness/stand_in.h"

#include <gtest/gtest.h>

#include <future>

namespace vanillashunt {

namespace {

    // Base64 of "a", "b", "c" and "x".
    constexpr const char* putA = R"({"key":"YQ==","value":"eA=="})";
    constexpr const char* rangeA = R"({"key":"YQ=="})";

    class platform_test : public testing::Test {
    protected:
        http_result call(const std::string& path, const std::string& body) const
        {
            return request("POST", platform.address(), path, {}, body);
        }

        Json::Value answer(const std::string& path, const std::string& body) const
        {
            return parseJson(std::get<http_answer>(call(path, body)).body);
        }

        // Writes "b" if the key "a" still has the revision.
        Json::Value swapFrom(const std::string& revision) const
        {
            return answer("/v3/kv/txn", R"({"compare":[{"target":"MOD","result":"EQUAL","key":"YQ==","mod_revision":")" + revision + R"("}],)" + R"("success":[{"request_put":{"key":"YQ==","value":"Yg=="}}],"failure":[{"request_range":{"key":"YQ=="}}]})");
        }

        stand_in platform { { "platform" } };
    };

}

TEST_F(platform_test, TransactionSwapsOnceAndThenShowsWhatIsThere)
{
    EXPECT_EQ(answer("/v3/kv/put", putA)["header"]["revision"], "2");
    EXPECT_EQ(swapFrom("2")["succeeded"], true);
    auto refused = swapFrom("2");
    EXPECT_FALSE(refused.isMember("succeeded"));
    EXPECT_EQ(refused["responses"][0]["response_range"]["kvs"][0]["value"], "Yg==");
    EXPECT_EQ(refused["header"]["revision"], "3");
}

TEST_F(platform_test, WatchDeliversHistoryAndThenNews)
{
    answer("/v3/kv/put", putA);
    auto watch = std::async(std::launch::async, [this] {
        return call("/v3/watch", R"({"create_request":{"key":"YQ==","range_end":"Yg==","start_revision":"2"}})");
    });
    EXPECT_TRUE(waitUntil([this] { return platform.read("/control/calls")["open_watches"] == 1; }));
    answer("/v3/kv/deleterange", rangeA);
    platform.control(R"({"down":true})");

    std::istringstream lines(std::get<http_error>(watch.get()).partialBody);
    std::vector<Json::Value> results;
    for (std::string line; std::getline(lines, line);) {
        results.push_back(parseJson(line)["result"]);
    }
    ASSERT_EQ(results.size(), 3U);
    EXPECT_EQ(results[0]["created"], true);
    EXPECT_EQ(results[1]["events"][0]["kv"]["mod_revision"], "2");
    EXPECT_EQ(results[2]["events"][0]["type"], "DELETE");
    EXPECT_EQ(platform.read("/control/calls")["open_watches"], 0);
}

TEST_F(platform_test, LostAnswerLeavesTheWriteInPlace)
{
    platform.control(R"({"lose_answers":1})");
    EXPECT_TRUE(std::holds_alternative<http_error>(call("/v3/kv/put", putA)));
    EXPECT_EQ(answer("/v3/kv/range", rangeA)["kvs"][0]["value"], "eA==");
    EXPECT_EQ(answer("/v3/kv/put", putA)["header"]["revision"], "3");
}

TEST_F(platform_test, StaleReadsShowTheOldStateAndLapsedLeasesTakeTheirKeys)
{
    auto lease = answer("/v3/lease/grant", R"({"TTL":"600"})")["ID"].asString();
    answer("/v3/kv/put", R"({"key":"YQ==","value":"eA==","lease":")" + lease + "\"}");
    platform.control(R"({"stale":true,"lapse_leases":true})");
    EXPECT_EQ(answer("/v3/kv/range", rangeA)["count"], "1");
    platform.control(R"({"stale":false})");
    EXPECT_FALSE(answer("/v3/kv/range", rangeA).isMember("count"));
    EXPECT_FALSE(answer("/v3/lease/keepalive", R"({"ID":")" + lease + "\"}")["result"].isMember("TTL"));
}

}
