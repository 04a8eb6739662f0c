#include "Harness/http_client.h"
#include "Harness/stand_in.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <future>

namespace vanillashunt {

namespace {

    using namespace std::chrono_literals;

    http_result ask(const stand_in& target, const std::string& nonce, std::chrono::milliseconds timeout = 20s)
    {
        return request("GET", target.address(), "/path", { { "X-Nonce", nonce } }, "", timeout);
    }

    std::future<http_result> askAside(const stand_in& target, const std::string& nonce)
    {
        return std::async(std::launch::async, [&target, nonce] { return ask(target, nonce); });
    }

    Json::Value bodyOf(std::future<http_result>& result)
    {
        return parseJson(std::get<http_answer>(result.get()).body);
    }

    // Waits until a counter of the backend server's runs has a value.
    bool waitFor(const stand_in& backend, const char* counter, int value)
    {
        return waitUntil([&] { return backend.read("/control/runs")[counter] == value; });
    }

    constexpr const char* pause = R"({"pause_after_start":true})";
    constexpr const char* resume = R"({"pause_after_start":false})";

}

TEST(BackendStandIn, RequestsOverTheSlotsWaitAndLeaveTheQueueWithTheirCaller)
{
    stand_in backend({ "backend", "--slots", "1" });
    backend.control(pause);
    auto first = askAside(backend, "first");
    ASSERT_TRUE(waitFor(backend, "running", 1));
    auto second = askAside(backend, "second");
    ASSERT_TRUE(waitFor(backend, "queued", 1));
    EXPECT_TRUE(std::get<http_error>(ask(backend, "gone", 50ms)).isTimeout);
    ASSERT_TRUE(waitFor(backend, "dropped_from_queue", 1));
    EXPECT_EQ(backend.read("/load")["in_flight"], 2);

    backend.control(resume);
    EXPECT_EQ(bodyOf(first)["nonce"], "first");
    EXPECT_EQ(bodyOf(second)["nonce"], "second");
    auto runs = backend.read("/control/runs")["runs"];
    ASSERT_EQ(runs.size(), 2U);
    EXPECT_EQ(runs[1]["nonce"], "second");
    EXPECT_EQ(runs[1]["outcome"], "answered");
}

TEST(BackendStandIn, ShedsOverTheSlotsWhenItIsToldTo)
{
    stand_in backend({ "backend", "--slots", "1", "--shed" });
    backend.control(pause);
    auto first = askAside(backend, "first");
    ASSERT_TRUE(waitFor(backend, "running", 1));
    auto refusal = std::get<http_answer>(ask(backend, "second"));
    EXPECT_EQ(refusal.status, 503U);
    EXPECT_EQ(refusal.field("vanillashunt-verdict"), "not_run");
    backend.control(resume);
    EXPECT_EQ(bodyOf(first)["nonce"], "first");
}

TEST(BackendStandIn, OnwardCallsMakeATreeAndTheirFailureFailsTheWhole)
{
    stand_in stay({ "backend", "--service", "stay" });
    stand_in threads({ "backend", "--node-caller", stay.address(), "--on", "/path=stay:/a,stay:/b:POST" });
    auto tree = parseJson(std::get<http_answer>(ask(threads, "own")).body);
    ASSERT_EQ(tree["children"].size(), 2U);
    EXPECT_EQ(tree["children"][1]["nonce"], "own");

    stay.process().kill();
    auto failure = std::get<http_answer>(ask(threads, "own"));
    EXPECT_EQ(failure.status, 502U);
    EXPECT_EQ(parseJson(failure.body)["failed_call"]["service"], "stay");
}

TEST(BackendStandIn, RunLogSurvivesAKill)
{
    auto file = testing::TempDir() + "run-log-" + std::to_string(getpid());
    {
        stand_in backend({ "backend", "--log", file });
        backend.control(pause);
        auto lost = askAside(backend, "lost");
        ASSERT_TRUE(waitFor(backend, "running", 1));
        backend.process().kill();
        EXPECT_TRUE(std::holds_alternative<http_error>(lost.get()));
    }
    std::ifstream log(file);
    std::string line;
    ASSERT_TRUE(std::getline(log, line));
    EXPECT_EQ(parseJson(line)["nonce"], "lost");
    EXPECT_EQ(parseJson(line)["outcome"], "running");
    std::remove(file.c_str());
}

TEST(BackendStandIn, StopsAfterTheLastRun)
{
    stand_in node({ "backend", "--service", "node" });
    stand_in backend({ "backend", "--node-backend", node.address() });
    backend.control(pause);
    auto last = askAside(backend, "last");
    ASSERT_TRUE(waitFor(backend, "running", 1));
    backend.process().signal(SIGTERM);
    auto hasDrained = [&] {
        auto runs = node.read("/control/runs")["runs"];
        return !runs.empty() && runs[runs.size() - 1]["path"] == "/backend-server/drain";
    };
    ASSERT_TRUE(waitUntil(hasDrained));
    backend.control(resume);
    EXPECT_EQ(bodyOf(last)["nonce"], "last");
    EXPECT_EQ(backend.process().wait()->exitCode, 0);
    auto runs = node.read("/control/runs")["runs"];
    EXPECT_EQ(runs[0]["method"], "PUT");
    EXPECT_EQ(runs[runs.size() - 1]["method"], "DELETE");
}

}
