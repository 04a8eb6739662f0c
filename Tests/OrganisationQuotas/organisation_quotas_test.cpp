#include "Harness/most_in_window.h"
#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

namespace vanillashunt {

namespace {

    using clock = std::chrono::steady_clock;

    constexpr std::size_t nodesOfZone = 4;
    constexpr double rate = 30;
    constexpr double burst = 30;
    constexpr std::chrono::seconds window { 5 };

    std::string document()
    {
        return R"({"version":"r1","resources":[
            {"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","timeout_s":20,"target_latency_s":1,"priority":0,"service":"desk","max_attempts":2}},
            {"type":"tenants","metadata":{"name":"hot"},"spec":{"api_keys":["key-hot"],"priority":1,"rate_per_s":30,"burst":30}},
            {"type":"tenants","metadata":{"name":"calm"},"spec":{"api_keys":["key-calm"],"priority":1,"rate_per_s":30,"burst":30}}]})";
    }

    // Two zones of four nodes that have never heard of each other, as behind a cut.
    struct cut_fleet {
        cut_fleet()
        {
            world.putConfiguration(document());
            for (const std::string zone : { "a", "b" }) {
                std::vector<std::string> join;
                for (std::size_t i = 0; i < nodesOfZone; ++i) {
                    auto name = "desk-" + zone + std::to_string(i);
                    nodes.push_back(std::make_unique<routed_node>(routed_node_plan { name, "desk", world.storeAddress(), world.serverAddress(), join, zone, { "a", "b" } }));
                    join = { nodes.back()->port("peer") };
                    nodes.back()->report("ready", 1, "desk", "i-" + name, 200);
                }
            }
            for (std::size_t each = 0; each < nodes.size(); ++each) {
                while (send(each, "key-calm") != "200") { }
            }
        }

        std::string send(std::size_t node, const std::string& key)
        {
            try {
                auto socket = raw_socket::connectTo(nodes[node]->port("caller"));
                socket.send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: q" + std::to_string(++requests)
                    + "\r\nVanillashunt-Deadline-Ms: 5000\r\nConnection: close\r\nApi-Key: " + key + "\r\n\r\n");
                auto answer = socket.readToEnd();
                return answer.size() < 12 ? "" : answer.substr(9, 3);
            } catch (const boost::system::system_error&) {
                return "";
            }
        }

        platform_world world;
        std::vector<std::unique_ptr<routed_node>> nodes;
        std::atomic<int> requests { 0 };
    };

}

// One organisation asks at every node for as much as it can, and gets no more than its limit
// over both zones together, also when the node ends that keeps one zone's pool; another one
// that stays below its limit is served.
TEST(OrganisationQuotas, HoldOverZonesThatAreCutOffAndNodesThatEnd)
{
    cut_fleet fleet;
    std::mutex mutex;
    std::vector<clock::time_point> served;
    std::size_t refused = 0;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> clients;
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        clients.emplace_back([&, node] {
            while (!isOver) {
                auto begun = clock::now();
                auto status = fleet.send(node, "key-hot");
                std::lock_guard<std::mutex> lock(mutex);
                if (status == "200") {
                    served.push_back(begun);
                }
                refused += status == "429" ? 1 : 0;
            }
        });
    }
    // Requests of the calm one, one after the other, pace the test: each waits for its answer.
    constexpr int calmRequests = 160;
    int calmServed = 0;
    for (int i = 0; i < calmRequests; ++i) {
        if (i == calmRequests / 2) {
            kill(fleet.nodes[1]->process->id(), SIGKILL);
        }
        // The ended node's clients ask elsewhere.
        auto node = static_cast<std::size_t>(i) % fleet.nodes.size();
        calmServed += fleet.send(node == 1 ? 2 : node, "key-calm") == "200" ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    isOver = true;
    for (auto& each : clients) {
        each.join();
    }
    EXPECT_GT(refused, served.size());
    EXPECT_GT(served.size(), 100U);
    std::sort(served.begin(), served.end());
    EXPECT_LE(mostInWindow(served, window), rate * std::chrono::duration<double>(window).count() + burst);
    EXPECT_GE(calmServed, calmRequests * 95 / 100);
}

}
