#include "RawSocket/closing_port.h"
#include "RoutedWorld/platform_world.h"
#include "RoutedWorld/routed_node.h"

#include <gtest/gtest.h>

#include <thread>

#include <csignal>

namespace vanillashunt {

namespace {

    constexpr auto maxWait = routed_node::longest;

    routed_node_plan planOf(const platform_world& world, const std::string& name, const std::string& service, const std::vector<std::string>& join = {})
    {
        return { name, service, world.storeAddress(), world.serverAddress(), join };
    }

    // A node that serves the route of the world's configuration with the world's backend server.
    struct serving_node {
        explicit serving_node(int version = 1, const std::string& kind = "idempotent")
        {
            world.configure(version, "desk", kind);
            node = std::make_unique<routed_node>(planOf(world, "desk-1", "desk"));
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
    routed_node server(planOf(world, "desk-1", "desk"));
    routed_node entry(planOf(world, "threads-1", "threads", { server.port("peer") }));
    server.report("ready", 1, "desk");
    auto answer = entry.getUntil("200");
    EXPECT_NE(answer.find("the server's bytes"), std::string::npos);
    auto run = world.waitForRuns(1);
    EXPECT_EQ(run.target, "/x/1");
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Caller-Service"), "threads");
    EXPECT_EQ(fieldValue(run.fields, "Vanillashunt-Expect-Instance"), "i-1");
    EXPECT_EQ(entry.get("/y/1").substr(9, 3), "404");
}

TEST(RoutedNodes, RefuseRequestsWhileTheyKnowNoRoutes)
{
    platform_world world;
    world.setStoreDown(true);
    routed_node node(planOf(world, "desk-1", "desk"));
    auto answer = node.get();
    EXPECT_EQ(answer.substr(9, 3), "503");
    EXPECT_NE(answer.find("Retry-After: 0."), std::string::npos);
    EXPECT_EQ(node.ready(), "503");
    world.configure(1, "desk");
    world.setStoreDown(false);
    node.report("ready", 1, "desk");
    EXPECT_EQ(node.getUntil("200").substr(9, 3), "200");
}

TEST(RoutedNodes, SendNothingToAServerThatDrains)
{
    serving_node fixture;
    auto& world = fixture.world;
    auto& node = *fixture.node;
    node.report("draining", 2, "desk");
    auto before = world.runs();
    EXPECT_EQ(node.get().substr(9, 3), "503");
    node.report("ready", 1, "desk");
    EXPECT_EQ(node.get().substr(9, 3), "503");
    EXPECT_EQ(world.runs(), before);
}

// A late heartbeat must not bring back a server that deregistered at a process that did not know
// it; a later start with the same id must receive requests.
TEST(RoutedNodes, SendNothingToAServerThatDeregisteredBeforeItWasKnown)
{
    platform_world world;
    world.configure(1, "desk");
    routed_node node(planOf(world, "desk-1", "desk"));
    auto now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    node.deregister("i-1");
    EXPECT_NE(node.waitForLine("VS111").find("known=\"no\""), std::string::npos);
    node.reportOfStart(now - 60000, "ready", 900, "desk", "i-1");
    EXPECT_EQ(node.get().substr(9, 3), "503");
    node.reportOfStart(now + 60000, "ready", 1, "desk", "i-1");
    EXPECT_EQ(node.getUntil("200").substr(9, 3), "200");
}

// A late heartbeat must not bring back a server that started to drain before the node restarted; a
// new server must receive requests.
TEST(RoutedNodes, SendNothingToAServerThatDrainedBeforeTheNodeRestarted)
{
    platform_world world;
    world.configureWithHealthPath(1, "desk");
    auto plan = planOf(world, "desk-1", "desk");
    auto node = std::make_unique<routed_node>(plan);
    node->report("draining", 8, "desk");
    node->process->kill();
    node = std::make_unique<routed_node>(plan);
    node->waitForLine("VS131");
    world.setHealthAnswer(503, "i-1");
    node->report("ready", 7, "desk");
    node->waitForLine("VS116");
    EXPECT_EQ(node->get().substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(world.runs(), 0U);
    world.setHealthAnswer(200, "i-2");
    node->report("ready", 1, "desk", "i-2");
    EXPECT_EQ(node->getUntil("200").substr(0, 12), "HTTP/1.1 200");
}

// Guards against a restarted node that takes a second delayed heartbeat for a proof that the server, which
// deregistered with the process before, is still in use.
TEST(RoutedNodes, SendNothingToAServerThatDeregisteredBeforeTheNodeRestartedWhateverIsDelayed)
{
    platform_world world;
    world.configureWithHealthPath(1, "desk");
    auto plan = planOf(world, "desk-1", "desk");
    auto node = std::make_unique<routed_node>(plan);
    node->report("ready", 6, "desk");
    node->deregister("i-1");
    node->process->kill();
    node = std::make_unique<routed_node>(plan);
    node->waitForLine("VS131");
    world.setHealthAnswer(503, "i-1");
    node->report("ready", 7, "desk");
    node->waitForLine("VS116");
    int sequence = 8;
    for (; sequence < 24; ++sequence) {
        node->report("ready", sequence, "desk");
        EXPECT_EQ(node->get().substr(0, 12), "HTTP/1.1 503");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    node->waitForLine("VS116");
    EXPECT_EQ(world.runs(), 0U);
    // The health check was wrong, and is right again.
    world.setHealthAnswer(200, "i-1");
    for (; node->get().substr(0, 12) != "HTTP/1.1 200"; ++sequence) {
        node->report("ready", sequence, "desk");
    }
    EXPECT_NE(world.runs(), 0U);
}

// Guards against a server that drains and receives requests, since a delayed heartbeat of a crashed server counted
// as a newer one when it said so.
TEST(RoutedNodes, SendNothingToAServerThatDrainsBehindADelayedHeartbeatOfAnother)
{
    platform_world world;
    world.configure(1, "desk");
    world.setInstance("i-1");
    routed_node node(planOf(world, "desk-1", "desk"));
    node.report("ready", 1, "desk");
    EXPECT_EQ(node.getUntil("200").substr(0, 12), "HTTP/1.1 200");
    auto runs = world.runs();
    node.report("ready", 1, "desk", "crashed");
    node.report("draining", 2, "desk");
    for (int request = 0; request < 5; ++request) {
        EXPECT_EQ(node.get().substr(0, 12), "HTTP/1.1 503");
    }
    EXPECT_EQ(world.runs(), runs);
}

// The health probe must not keep a healthy server out of use after a restart of the node.
TEST(RoutedNodes, SendRequestsToAHealthyServerAfterTheNodeRestarted)
{
    platform_world world;
    world.configureWithHealthPath(1, "desk");
    world.setHealthAnswer(200, "i-1");
    auto plan = planOf(world, "desk-1", "desk");
    auto node = std::make_unique<routed_node>(plan);
    node->report("ready", 7, "desk");
    node->process->kill();
    node = std::make_unique<routed_node>(plan);
    node->waitForLine("VS131");
    node->report("ready", 8, "desk");
    EXPECT_EQ(node->getUntil("200").substr(0, 12), "HTTP/1.1 200");
}

TEST(RoutedNodes, StopWithoutCuttingOffARequest)
{
    serving_node fixture(1, "non_idempotent");
    auto& world = fixture.world;
    auto& node = *fixture.node;
    world.hold(true);
    auto before = world.runs();
    auto running = node.begin();
    world.waitForRuns(before + 1);
    node.process->signal(SIGTERM);
    node.waitForLine("VS101");
    EXPECT_NE(node.waitForLine("VS107").find("entered=\"1\" arrived=\"1\" clients=\"1\""), std::string::npos);
    EXPECT_EQ(node.ready(), "503");
    world.hold(false);
    EXPECT_NE(running.readToEnd().find("the server's bytes"), std::string::npos);
    auto end = node.process->wait(maxWait);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
}

// Guards against a stopping node that reads a request and exits without answering it. Clients keep
// sending until the process exits, and the servers of the route do not answer in time.
TEST(RoutedNodes, AnswerEveryRequestThatTheyHaveReadBeforeTheyExit)
{
    platform_world world;
    world.configure(1, "desk", "non_idempotent");
    routed_node other(planOf(world, "desk-1", "desk"));
    routed_node entry(planOf(world, "desk-2", "desk", { other.port("peer") }));
    other.report("ready", 1, "desk");
    entry.report("ready", 1, "desk");
    EXPECT_EQ(entry.getUntil("200").substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(other.getUntil("200").substr(0, 12), "HTTP/1.1 200");
    world.hold(true);
    auto before = world.runs();
    constexpr std::size_t requestCount = 6;
    std::vector<raw_socket> running;
    running.reserve(requestCount);
    for (std::size_t i = 0; i < requestCount; ++i) {
        running.push_back(entry.begin());
    }
    world.waitForRuns(before + running.size());
    entry.process->signal(SIGTERM);
    entry.waitForLine("VS101");
    std::string late;
    do {
        late = entry.begin("/x/1", std::chrono::milliseconds(100)).readToEnd();
    } while (late.substr(0, 12) == "HTTP/1.1 504");
    EXPECT_EQ(late.substr(0, 12), "HTTP/1.1 503");
    EXPECT_NE(late.find("Connection: close"), std::string::npos);
    EXPECT_NE(late.find("Retry-After: 0."), std::string::npos);
    auto runs = world.runs();
    EXPECT_EQ(entry.get().substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(world.runs(), runs);
    for (auto& connection : running) {
        EXPECT_EQ(connection.readToEnd().substr(0, 12), "HTTP/1.1 502");
    }
    EXPECT_NE(entry.waitForLine("VS108").find("entered=\"6\""), std::string::npos);
    auto end = entry.process->wait(maxWait);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
    world.hold(false);
}

// Guards against a stopping node that closes a new connection before its first request: the client cannot
// know whether the request has run.
TEST(RoutedNodes, AnswerAClientThatConnectedJustBeforeTheirPortClosed)
{
    serving_node fixture;
    auto& node = *fixture.node;
    node.process->signal(SIGTERM);
    auto last = lastConnectionBeforePortCloses(node.port("caller"));
    node.sendRequest(last);
    EXPECT_EQ(last.readUntil("\r\n").substr(0, 12), "HTTP/1.1 503");
    auto end = node.process->wait(maxWait);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
}

TEST(RoutedNodes, ServeAfterTheyReadTheirSettingsAgain)
{
    serving_node fixture;
    auto& node = *fixture.node;
    node.process->signal(SIGHUP);
    EXPECT_NE(node.waitForLine("VS105").find("taken=\"yes\""), std::string::npos);
    EXPECT_EQ(node.get().substr(9, 3), "200");
}

TEST(RoutedNodes, NeverGoBackToAnOlderVersion)
{
    serving_node fixture(5);
    auto& world = fixture.world;
    auto& node = *fixture.node;
    world.configure(4, "nobody");
    // The wait for changes returns the older version repeatedly.
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(node.get().substr(9, 3), "200");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    world.configure(6, "nobody");
    EXPECT_EQ(node.getUntil("503").substr(9, 3), "503");
}

// All nodes are killed while the backend servers keep running.
TEST(RoutedNodes, ServeAgainAfterAllOfThemWereKilled)
{
    platform_world world;
    world.configure(3, "desk");
    for (int round = 0; round < 2; ++round) {
        routed_node server(planOf(world, "desk-1", "desk"));
        routed_node entry(planOf(world, "threads-1", "threads", { server.port("peer") }));
        server.report("ready", round + 1, "desk");
        EXPECT_NE(entry.getUntil("200").find("the server's bytes"), std::string::npos);
        server.process->kill();
        entry.process->kill();
    }
}

// The same while the store is unavailable: the routes come from a node that is still running.
TEST(RoutedNodes, ServeAgainAfterAKillWhileTheStoreIsAway)
{
    platform_world world;
    world.configure(3, "desk");
    routed_node server(planOf(world, "desk-1", "desk"));
    server.report("ready", 1, "desk");
    EXPECT_EQ(server.getUntil("200").substr(9, 3), "200");
    world.setStoreDown(true);
    for (int round = 0; round < 2; ++round) {
        routed_node entry(planOf(world, "threads-1", "threads", { server.port("peer") }));
        EXPECT_NE(entry.getUntil("200").find("the server's bytes"), std::string::npos);
        entry.process->kill();
    }
}

// The operator commands and the metrics work with routed nodes.
TEST(RoutedNodes, AnswerTheCommandsOfOperators)
{
    serving_node fixture(5);
    auto& node = *fixture.node;
    child_process status({ VANILLASHUNT_PATH, "status", "--node", node.port("operator") });
    status.readLine(maxWait);
    auto row = status.readLine(maxWait);
    ASSERT_TRUE(std::holds_alternative<std::string>(row));
    EXPECT_NE(std::get<std::string>(row).find("desk-1"), std::string::npos);
    EXPECT_NE(std::get<std::string>(row).find(" 5 "), std::string::npos);
    child_process explain({ VANILLASHUNT_PATH, "explain", "r1", "--node", node.port("operator") });
    auto end = explain.wait(maxWait);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
    auto metrics = raw_socket::connectTo(node.port("operator"));
    metrics.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    EXPECT_NE(metrics.readToEnd().find("vanillashunt_contract_revision 5"), std::string::npos);
}

// Guards against a server that stays out of use after a crash: it starts again with the same id, and
// then a delayed report of its previous start arrives, which says that it drains. If starts were
// identified by the id alone, the server would never receive requests again.
TEST(RoutedNodes, SendRequestsToAServerThatStartedAgainWithTheSameId)
{
    serving_node fixture;
    auto& node = *fixture.node;
    node.reportOfStart(1000, "ready", 900, "desk", "i-1");
    EXPECT_EQ(node.get().substr(9, 3), "200");
    node.reportOfStart(2000, "ready", 1, "desk", "i-1");
    node.reportOfStart(1000, "draining", 901, "desk", "i-1");
    EXPECT_EQ(node.get().substr(9, 3), "200");
}

// A request that the previous start of the server was running is answered at once as one that may
// have run.
TEST(RoutedNodes, AnswerRequestsOfThePreviousStartOfAServerAtOnce)
{
    serving_node fixture(1, "non_idempotent");
    auto& node = *fixture.node;
    node.reportOfStart(1000, "ready", 1, "desk", "i-1");
    EXPECT_EQ(node.get().substr(9, 3), "200");
    auto before = fixture.world.runs();
    fixture.world.hold(true);
    auto waiting = node.begin();
    fixture.world.waitForRuns(before + 1);
    node.reportOfStart(2000, "ready", 1, "desk", "i-1");
    EXPECT_EQ(waiting.readToEnd().substr(9, 3), "502");
    fixture.world.hold(false);
}

}
