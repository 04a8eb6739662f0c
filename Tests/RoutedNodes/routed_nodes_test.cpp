#include "Harness/child_process.h"
#include "RoutedNodes/platform_world.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace vanillashunt {

namespace {

    constexpr std::chrono::seconds longest { 30 };

    // One node as a real process.
    class routed_node {
    public:
        routed_node(const platform_world& world, const std::string& name, const std::string& service, const std::string& join = {})
        {
            m_file = std::filesystem::temp_directory_path() / ("routed-" + name + "-" + std::to_string(getpid()) + ".toml");
            std::ofstream(m_file) << "[node]\nname = \"" << name << "\"\navailability_zone = \"a\"\n[peer]\njoin = ["
                                  << (join.empty() ? "" : "\"" + join + "\"") << "]\n[platform]\nendpoints = [\"" << world.storeAddress()
                                  << "\"]\n[routes]\nservice = \"" << service << "\"\nserver = \"" << world.serverAddress() << "\"\n";
            process = std::make_unique<child_process>(std::vector<std::string> { VANILLASHUNT_PATH, "routed-node", m_file });
            waitForLine("VS100");
        }

        ~routed_node() { std::filesystem::remove(m_file); }

        std::string waitForLine(const std::string& text)
        {
            while (true) {
                auto line = process->readLine(longest);
                if (std::holds_alternative<child_failure>(line)) {
                    throw std::runtime_error("no line with " + text);
                }
                auto& words = std::get<std::string>(line);
                if (words.find(text) != std::string::npos) {
                    return m_last = words;
                }
            }
        }

        // The address of a port, by the line that tells of the start.
        std::string port(const std::string& which)
        {
            if (m_started.empty()) {
                m_started = m_last;
            }
            auto place = m_started.find(' ' + which + "=\"") + which.size() + 3;
            return m_started.substr(place, m_started.find('"', place) - place);
        }

        void report(const std::string& state, int sequence, const std::string& service)
        {
            auto body = R"({"service":")" + service + R"(","address":"x","zone":"a","capacity":8,"state":")" + state + R"(","warmup_left_s":0,"sequence":)" + std::to_string(sequence) + "}";
            auto socket = raw_socket::connectTo(port("backend"));
            socket.send("POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            EXPECT_NE(socket.readUntil("\r\n\r\n").find("200"), std::string::npos);
        }

        std::string ready()
        {
            auto socket = raw_socket::connectTo(port("ready"));
            socket.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            return socket.readUntil("\r\n\r\n").substr(9, 3);
        }

        raw_socket begin(const std::string& path = "/x/1")
        {
            auto socket = raw_socket::connectTo(port("caller"));
            socket.send("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Request-Id: r" + std::to_string(++m_requests)
                + "\r\nVanillashunt-Deadline-Ms: 20000\r\nVanillashunt-Caller-Service: forged\r\nConnection: close\r\n\r\n");
            return socket;
        }

        std::string get(const std::string& path = "/x/1") { return begin(path).readToEnd(); }

        // Asks again until the answer has the status; what is known spreads by itself.
        std::string getUntil(const std::string& status)
        {
            std::string answer;
            for (int tries = 0; tries < 600; ++tries) {
                answer = get();
                if (answer.substr(9, 3) == status) {
                    return answer;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
            return answer;
        }

        std::unique_ptr<child_process> process;

    private:
        std::string m_file;
        std::string m_last;
        std::string m_started;
        int m_requests = 0;
    };

    // One node that serves the route of the world's configuration by the world's server.
    struct served_node {
        explicit served_node(int version = 1, const std::string& kind = "idempotent")
        {
            world.configure(version, "desk", kind);
            node = std::make_unique<routed_node>(world, "desk-1", "desk");
            node->report("ready", 1, "desk");
            EXPECT_EQ(node->getUntil("200").substr(9, 3), "200");
        }

        platform_world world;
        std::unique_ptr<routed_node> node;
    };

}

TEST(RoutedNodes, PassARequestToTheServerOfItsRoute)
{
    platform_world world;
    world.configure(3, "desk");
    routed_node server(world, "desk-1", "desk");
    routed_node entry(world, "threads-1", "threads", server.port("peer"));
    server.report("ready", 1, "desk");
    auto answer = entry.getUntil("200");
    EXPECT_NE(answer.find("the server's bytes"), std::string::npos);
    auto run = world.waitForRuns(1);
    EXPECT_EQ(run.target, "/x/1");
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Caller-Service"), "threads");
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Expect-Instance"), "i-1");
    EXPECT_EQ(entry.get("/y/1").substr(9, 3), "404");
}

TEST(RoutedNodes, SayThatNothingRanWhileTheyKnowNoRoutes)
{
    platform_world world;
    world.setStoreDown(true);
    routed_node node(world, "desk-1", "desk");
    auto answer = node.get();
    EXPECT_EQ(answer.substr(9, 3), "503");
    EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
    EXPECT_EQ(node.ready(), "503");
    world.configure(1, "desk");
    world.setStoreDown(false);
    node.report("ready", 1, "desk");
    EXPECT_EQ(node.getUntil("200").substr(9, 3), "200");
}

TEST(RoutedNodes, SendNothingToAServerThatHasSaidThatItLeaves)
{
    served_node served;
    auto& world = served.world;
    auto& node = *served.node;
    node.report("draining", 2, "desk");
    auto before = world.runs();
    EXPECT_EQ(node.get().substr(9, 3), "503");
    node.report("ready", 1, "desk");
    EXPECT_EQ(node.get().substr(9, 3), "503");
    EXPECT_EQ(world.runs(), before);
}

TEST(RoutedNodes, StopWithoutCuttingOffARequest)
{
    served_node served(1, "non_idempotent");
    auto& world = served.world;
    auto& node = *served.node;
    world.hold(true);
    auto before = world.runs();
    auto running = node.begin();
    world.waitForRuns(before + 1);
    node.process->signal(SIGTERM);
    node.waitForLine("VS101");
    EXPECT_EQ(node.ready(), "503");
    world.hold(false);
    EXPECT_NE(running.readToEnd().find("the server's bytes"), std::string::npos);
    auto end = node.process->wait(longest);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
}

TEST(RoutedNodes, ReadTheirSettingsAgainAndGoOnServing)
{
    served_node served;
    auto& node = *served.node;
    node.process->signal(SIGHUP);
    EXPECT_NE(node.waitForLine("VS105").find("taken=\"yes\""), std::string::npos);
    EXPECT_EQ(node.get().substr(9, 3), "200");
}

TEST(RoutedNodes, NeverGoBackToAnOlderVersion)
{
    served_node served(5);
    auto& world = served.world;
    auto& node = *served.node;
    world.configure(4, "nobody");
    // The wait for changes brings the older version, again and again.
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(node.get().substr(9, 3), "200");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    world.configure(6, "nobody");
    EXPECT_EQ(node.getUntil("503").substr(9, 3), "503");
}

// The load: every process is killed at the same moment, and the servers go on.
TEST(RoutedNodes, ServeAgainAfterAllOfThemWereKilled)
{
    platform_world world;
    world.configure(3, "desk");
    for (int round = 0; round < 2; ++round) {
        routed_node server(world, "desk-1", "desk");
        routed_node entry(world, "threads-1", "threads", server.port("peer"));
        server.report("ready", round + 1, "desk");
        EXPECT_NE(entry.getUntil("200").find("the server's bytes"), std::string::npos);
        server.process->kill();
        entry.process->kill();
    }
}

// The same while the store is away: the routes come from a node that lives.
TEST(RoutedNodes, ServeAgainAfterAKillWhileTheStoreIsAway)
{
    platform_world world;
    world.configure(3, "desk");
    routed_node server(world, "desk-1", "desk");
    server.report("ready", 1, "desk");
    EXPECT_EQ(server.getUntil("200").substr(9, 3), "200");
    world.setStoreDown(true);
    for (int round = 0; round < 2; ++round) {
        routed_node entry(world, "threads-1", "threads", server.port("peer"));
        EXPECT_NE(entry.getUntil("200").find("the server's bytes"), std::string::npos);
        entry.process->kill();
    }
}

// The commands that operators know read these nodes, too.
TEST(RoutedNodes, TellOperatorsWhatTheyKnowAndDecided)
{
    served_node served(5);
    auto& node = *served.node;
    child_process status({ VANILLASHUNT_PATH, "status", "--node", node.port("operator") });
    status.readLine(longest);
    auto row = status.readLine(longest);
    ASSERT_TRUE(std::holds_alternative<std::string>(row));
    EXPECT_NE(std::get<std::string>(row).find("desk-1"), std::string::npos);
    EXPECT_NE(std::get<std::string>(row).find(" 5 "), std::string::npos);
    child_process explain({ VANILLASHUNT_PATH, "explain", "r1", "--node", node.port("operator") });
    auto end = explain.wait(longest);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
    auto metrics = raw_socket::connectTo(node.port("operator"));
    metrics.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    EXPECT_NE(metrics.readToEnd().find("vanillashunt_contract_revision 5"), std::string::npos);
}

}
