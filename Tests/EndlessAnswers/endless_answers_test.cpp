#include "EndlessAnswers/endless_server.h"
#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"
#include "http/http_client.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <future>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint32_t slots = 139;
    constexpr milliseconds deadline { 1500 };

    // A node beside a server whose answers have no end.
    struct troubled_node {
        explicit troubled_node(const endless_answer& answer)
            : server(answer)
        {
            world.configureWithHealthPath(1, "desk");
            routed_node_plan plan { "desk-1", "desk", world.storeAddress(), server.address(), {} };
            plan.furtherSettings = "[limits]\nmax_body = \"64MiB\"\n";
            node = std::make_unique<routed_node>(plan);
        }

        // Reports the server, and waits for its first small answer.
        void start() const
        {
            node->report("ready", 1, "desk", "i-1", slots);
            waitForSmall();
        }

        // Asks for a small answer until there is one.
        void waitForSmall() const
        {
            while (node->get("/x/small").substr(9, 3) != "200") {
                std::this_thread::sleep_for(milliseconds(20));
            }
        }

        // The greatest resident memory that the process had, in megabytes.
        std::size_t peakMegabytes() const
        {
            std::ifstream status("/proc/" + std::to_string(node->process->id()) + "/status");
            for (std::string word; status >> word;) {
                if (word == "VmHWM:") {
                    std::size_t kilobytes = 0;
                    status >> kilobytes;
                    return kilobytes / 1024;
                }
            }
            return 0;
        }

        platform_world world;
        endless_server server;
        std::unique_ptr<routed_node> node;
    };

    std::string statusOf(raw_socket& client) { return client.readToEnd().substr(9, 3); }

}

// Guards against a caller, and a connection to the server, that wait for the end of an answer that has none.
TEST(EndlessAnswers, AreGivenUpAndTheirConnectionIsClosed)
{
    for (const auto& answer : endlessAnswers()) {
        troubled_node world(answer);
        world.start();
        auto client = world.node->begin("/x/1", deadline);
        auto status = statusOf(client);
        EXPECT_TRUE(status == "502" || status == "504") << answer.name << ": " << status;
        while (world.server.closedByCaller() < world.server.begun()) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        world.waitForSmall();
    }
}

// Guards against a node that ends by the answer to its first health check, which has no end either.
TEST(EndlessAnswers, ToHealthChecksLeaveTheNodeAlive)
{
    for (const auto& answer : endlessAnswers()) {
        if (answer.pause.count() > 0) {
            continue;
        }
        troubled_node world(answer);
        // The node asks for the health of a server only if it knows the path from the configuration.
        while (world.node->ready() != "200") {
            std::this_thread::sleep_for(milliseconds(20));
        }
        world.start();
        EXPECT_GT(world.server.begun(), 0U) << answer.name;
    }
}

// Guards against a server's endless answers that keep its other answers, or those of the node, from callers.
TEST(EndlessAnswers, LeaveRoomForOtherAnswers)
{
    constexpr int callers = 8;
    for (const auto& answer : endlessAnswers()) {
        troubled_node world(answer);
        world.start();
        std::vector<raw_socket> clients;
        clients.reserve(callers);
        for (int caller = 0; caller < callers; ++caller) {
            clients.push_back(world.node->begin("/x/1", deadline));
        }
        world.waitForSmall();
        for (auto& client : clients) {
            auto status = statusOf(client);
            EXPECT_TRUE(status == "502" || status == "503" || status == "504") << answer.name << ": " << status;
        }
    }
}

// Guards against a node that ends for want of memory, with all its requests, since a server's answers have no
// end. The platform gives a process 160 MB at least; 200 MB is the bound on a deployment with 260 MB.
TEST(EndlessAnswers, OfManyCallersFitIntoTheMemoryOfANode)
{
    constexpr int callers = 96;
    constexpr std::size_t maxMegabytes = 200;
    constexpr milliseconds longDeadline { 5000 };
    for (const auto& answer : endlessAnswers()) {
        if (answer.pause.count() > 0) {
            continue;
        }
        troubled_node world(answer);
        world.start();
        std::vector<raw_socket> clients;
        clients.reserve(callers);
        for (int caller = 0; caller < callers; ++caller) {
            clients.push_back(world.node->begin("/x/1", longDeadline));
        }
        for (auto& client : clients) {
            EXPECT_NE(statusOf(client), "200") << answer.name;
        }
        EXPECT_LE(world.peakMegabytes(), maxMegabytes) << answer.name;
    }
}

// Guards against a call to the store, a health check or an operator's call that reads informational answers without
// an end, and holds up the event loop of the node.
TEST(EndlessAnswers, ToTheHttpClientAreGivenUp)
{
    constexpr milliseconds timeLimit { 30000 };
    for (const auto& answer : endlessAnswers()) {
        if (answer.name.find("informational") == std::string::npos) {
            continue;
        }
        endless_server server(answer);
        context_thread loop;
        std::unique_ptr<http_client> client;
        std::promise<http_result> result;
        loop.runAndWait([&] {
            client = std::make_unique<http_client>(loop.context, http_client_settings {});
            client->send(server.address(), { "GET", "/x", {}, {} }, timeLimit, [&](http_result value) { result.set_value(std::move(value)); });
        });
        auto ended = result.get_future().get();
        const auto* failure = std::get_if<http_failure>(&ended);
        ASSERT_NE(failure, nullptr) << answer.name;
        EXPECT_TRUE(failure->sent && !failure->timedOut) << answer.name;
        while (server.closedByCaller() < server.begun()) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        loop.runAndWait([&] { client.reset(); });
    }
}

}
