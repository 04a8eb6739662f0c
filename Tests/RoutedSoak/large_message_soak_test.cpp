#include "RoutedSoak/soak_seeds.h"
#include "RoutedWorld/bulk_server.h"
#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <random>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t nodeCount = 3;
    constexpr std::uint32_t slots = 64;
    // What a node's process may have, as the smallest of the users' machines, and what it may use of it.
    constexpr const char* memorySettings = "[limits]\nmax_body = \"64MiB\"\nmemory = \"160MiB\"\n";
    constexpr std::size_t maxMegabytes = 160;
    constexpr milliseconds duration { 6000 };
    constexpr milliseconds longDeadline { 5000 };
    constexpr milliseconds smallPause { 5 };

    struct large_outcome {
        std::string requestId;
        bool idempotent = true;
        int status = 0;
        // Whether the body was received to its end.
        bool isComplete = false;
    };

    // Nodes with servers of large messages, and clients of all kinds; by one seed.
    class large_message_soak {
    public:
        explicit large_message_soak(std::uint64_t seed)
            : m_seed(seed)
            , m_random(seed)
        {
            m_world.putConfiguration(R"({"version":"r1","resources":[
                {"type":"routes","metadata":{"name":"one"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","service":"desk","timeout_s":5,"target_latency_s":1,"priority":0,"max_attempts":2}},
                {"type":"routes","metadata":{"name":"two"},"spec":{"host":"a.example","prefix":"/y/","kind":"non_idempotent","service":"desk","timeout_s":5,"target_latency_s":1,"priority":0,"max_attempts":2}},
                {"type":"services","metadata":{"name":"desk"},"spec":{}},
                {"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":5,"idle_timeout_s":15}}]})");
            for (std::size_t which = 0; which < nodeCount; ++which) {
                routed_node_plan plan { "desk-" + std::to_string(which), "desk", m_world.storeAddress(), m_servers[which].address(), {} };
                plan.furtherSettings = memorySettings;
                for (const auto& node : m_nodes) {
                    plan.join.push_back(node->port("peer"));
                }
                m_nodes.push_back(std::make_unique<routed_node>(plan));
                m_nodes.back()->report("ready", 1, "desk", "i-" + std::to_string(which), slots);
            }
            for (auto& node : m_nodes) {
                node->getUntil("200");
            }
        }

        void play()
        {
            std::vector<std::thread> clients;
            for (int number = 0; number < 4; ++number) {
                clients.emplace_back([this, seed = m_random()] { askSmall(seed); });
                clients.emplace_back([this, seed = m_random()] { askLarge(seed); });
                clients.emplace_back([this, seed = m_random()] { upload(seed); });
            }
            clients.emplace_back([this, seed = m_random()] { askEndless(seed); });
            clients.emplace_back([this, seed = m_random()] { beginRequests(seed); });
            auto end = std::chrono::steady_clock::now() + duration;
            while (std::chrono::steady_clock::now() < end) {
                auto& process = *m_nodes[m_random() % nodeCount]->process;
                process.signal(SIGSTOP);
                std::this_thread::sleep_for(milliseconds(m_random() % 300));
                process.signal(SIGCONT);
                std::this_thread::sleep_for(milliseconds(500 + m_random() % 1000));
            }
            m_ends = true;
            for (auto& client : clients) {
                client.join();
            }
        }

        void check()
        {
            std::map<std::string, int> runs;
            for (auto& server : m_servers) {
                for (const auto& [id, count] : server.runs()) {
                    runs[id] += count;
                }
            }
            for (const auto& told : m_outcomes) {
                auto ran = runs.count(told.requestId) != 0 ? runs.at(told.requestId) : 0;
                auto about = "seed " + std::to_string(m_seed) + ", request " + told.requestId + ", status " + std::to_string(told.status) + ", runs " + std::to_string(ran);
                EXPECT_NE(told.status, 0) << "no answer: " << about;
                EXPECT_TRUE(told.status != 200 || told.isComplete) << about;
                EXPECT_LE(ran, told.idempotent ? 2 : 1) << about;
                if (!told.idempotent && told.status == 503) {
                    EXPECT_EQ(ran, 0) << "said not to have run: " << about;
                }
            }
            auto served = [this](const std::string& kind) {
                return std::count_if(m_outcomes.begin(), m_outcomes.end(), [&kind](const auto& told) { return told.status == 200 && told.requestId.rfind(kind, 0) == 0; });
            };
            auto asked = std::count_if(m_outcomes.begin(), m_outcomes.end(), [](const auto& told) { return told.requestId.rfind("small", 0) == 0; });
            EXPECT_GE(served("small"), asked * 9 / 10) << "seed " << m_seed << ", asked " << asked;
            EXPECT_GT(served("large"), 0) << "seed " << m_seed;
            EXPECT_GT(served("upload"), 0) << "seed " << m_seed;
            for (auto& node : m_nodes) {
                EXPECT_LE(peakMegabytes(*node), maxMegabytes) << "seed " << m_seed;
                EXPECT_EQ(node->getUntil("200").substr(9, 3), "200") << "seed " << m_seed;
            }
        }

    private:
        static std::size_t peakMegabytes(const routed_node& node)
        {
            std::ifstream status("/proc/" + std::to_string(node.process->id()) + "/status");
            for (std::string word; status >> word;) {
                if (word == "VmHWM:") {
                    std::size_t kilobytes = 0;
                    status >> kilobytes;
                    return kilobytes / 1024;
                }
            }
            return 0;
        }

        std::string address(std::mt19937_64& random) const { return m_nodes[random() % nodeCount]->port("caller"); }

        static std::string head(const std::string& method, const std::string& path, const std::string& id, std::size_t bytes)
        {
            return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: " + id + "\r\nVanillashunt-Deadline-Ms: " + std::to_string(longDeadline.count())
                + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
        }

        // Returns whether the connection can be used again.
        bool readAnswer(raw_socket& connection, large_outcome outcome)
        {
            auto answer = connection.readUntil("\r\n\r\n");
            if (answer.size() > 12) {
                outcome.status = std::stoi(answer.substr(9, 3));
                auto field = answer.find("Content-Length: ");
                auto left = std::stoul(answer.substr(field + 16));
                std::size_t count = 1;
                while (left > 0 && count > 0) {
                    count = connection.readBytes(std::min<std::size_t>(left, 65536)).size();
                    left -= count;
                }
                outcome.isComplete = left == 0;
            }
            std::lock_guard<std::mutex> lock(m_mutex);
            m_outcomes.push_back(outcome);
            return outcome.isComplete && answer.find("Connection: close") == std::string::npos;
        }

        // On connections that are kept for some requests.
        void askSmall(std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            std::unique_ptr<raw_socket> connection;
            for (int number = 0; !m_ends; ++number) {
                if (!connection) {
                    connection = std::make_unique<raw_socket>(raw_socket::connectTo(address(random)));
                }
                auto id = "small-" + std::to_string(seed) + "-" + std::to_string(number);
                connection->send(head("GET", "/x/small", id, 0));
                if (!readAnswer(*connection, { id }) || random() % 4 == 0) {
                    connection.reset();
                }
                std::this_thread::sleep_for(smallPause);
            }
        }

        void askLarge(std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            for (int number = 0; !m_ends; ++number) {
                auto id = "large-" + std::to_string(seed) + "-" + std::to_string(number);
                auto connection = raw_socket::connectTo(address(random));
                auto path = std::string(random() % 2 == 0 ? "/x/chunked-" : "/x/sized-") + std::to_string(1 + random() % 16);
                connection.send(head("GET", path, id, 0));
                readAnswer(connection, { id });
            }
        }

        void askEndless(std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            for (int number = 0; !m_ends; ++number) {
                auto id = "endless-" + std::to_string(seed) + "-" + std::to_string(number);
                auto connection = raw_socket::connectTo(address(random));
                connection.send(head("GET", "/x/endless", id, 0));
                readAnswer(connection, { id });
            }
        }

        // Of any size up to the limit of the configuration.
        void upload(std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            for (int number = 0; !m_ends; ++number) {
                auto id = "upload-" + std::to_string(seed) + "-" + std::to_string(number);
                auto bytes = (1 + random() % 1024) * bulkPiece().size() >> (random() % 8);
                auto connection = raw_socket::connectTo(address(random));
                connection.trySend(head("POST", "/y/1", id, bytes));
                for (std::size_t sent = 0; sent < bytes; sent += bulkPiece().size()) {
                    connection.trySend(bulkPiece().substr(0, bytes - sent));
                }
                readAnswer(connection, { id, false });
            }
        }

        // Sends the beginnings of many uploads or headers to each node, and leaves after a while.
        void beginRequests(std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            while (!m_ends) {
                std::vector<raw_socket> connections;
                for (auto& node : m_nodes) {
                    auto begin = random() % 2 == 0 ? head("POST", "/y/1", "begun", 60000000) : "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Long: ";
                    auto sent = begin + std::string(random() % 16000, 'x');
                    for (auto left = random() % 500; left > 0; --left) {
                        connections.push_back(raw_socket::connectTo(node->port("caller")));
                        connections.back().trySend(sent);
                    }
                }
                std::this_thread::sleep_for(milliseconds(random() % 2000));
            }
        }

        std::uint64_t m_seed;
        std::mt19937_64 m_random;
        platform_world m_world;
        std::array<bulk_server, nodeCount> m_servers;
        std::vector<std::unique_ptr<routed_node>> m_nodes;
        std::atomic<bool> m_ends = false;
        std::mutex m_mutex;
        std::vector<large_outcome> m_outcomes;
    };

}

// Guards against nodes that end for want of memory, lose requests or answer them wrongly while servers answer
// without an end, and large messages of any size arrive on all ways, also at nodes that freeze.
TEST(LargeMessageSoak, KeepsThePromisesWhileMessagesFillTheMemory)
{
    for (auto seed : soakSeeds({ 1 })) {
        large_message_soak run(seed);
        run.play();
        run.check();
    }
}

}
