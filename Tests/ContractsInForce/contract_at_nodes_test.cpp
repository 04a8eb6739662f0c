#include "ContractsInForce/contract_files_of_test.h"
#include "Harness/command_run.h"
#include "Harness/mesh.h"

#include <gmock/gmock.h>

#include <csignal>

namespace vanillashunt {

namespace {

    constexpr int exitUnknown = 4;

    // Three nodes in three zones, and an operator.
    class contract_at_nodes_test : public testing::Test {
    protected:
        void start()
        {
            m_revision = apply("0.5");
            for (const std::string zone : { "cyberjaya", "shah-alam", "bangsar" }) {
                addNode("threads-" + zone, zone, "");
            }
            ASSERT_TRUE(waitUntilInForce(m_revision, 3));
        }

        void addNode(const std::string& name, const std::string& zone, const std::string& peerSettings)
        {
            server_spec spec;
            spec.name = name;
            spec.availabilityZone = zone;
            spec.peerSettings = peerSettings;
            m_mesh.add(spec);
        }

        // Changes the share of what stands and returns the revision.
        std::string apply(const std::string& share)
        {
            auto file = writeFile(m_mesh.folder() / "contract.toml", contractWithShare(share));
            std::vector<std::string> words { "contract", "apply", file, "--store", m_mesh.platform().address() };
            if (!m_revision.empty()) {
                words.insert(words.end(), { "--base", m_revision });
            }
            auto result = runCommand(words);
            EXPECT_EQ(result.exitCode, 0) << result.text;
            return result.text.substr(result.text.rfind(' ') + 1, result.text.size() - result.text.rfind(' ') - 2);
        }

        command_run status(const std::string& revision)
        {
            return runCommand({ "contract", "status", revision, "--node", m_mesh.server("threads-bangsar").operators() });
        }

        bool waitUntilInForce(const std::string& revision, int nodes)
        {
            auto count = std::to_string(nodes);
            auto everywhere = "revision " + revision + " is in force at " + count + " of " + count + " nodes that answered\n";
            return waitUntil([&] {
                auto answer = status(revision);
                return answer.exitCode == 0 && answer.text == everywhere;
            });
        }

        // Whether each node still has what it had.
        void expectNobodyBelow(const std::string& revision, int nodes)
        {
            auto answer = status(revision);
            EXPECT_EQ(answer.exitCode, 0);
            EXPECT_EQ(answer.text, "revision " + revision + " is in force at " + std::to_string(nodes) + " of " + std::to_string(nodes) + " nodes that answered\n");
        }

        mesh m_mesh;
        std::string m_revision;
    };

}

TEST_F(contract_at_nodes_test, AnAcceptedContractIsInForceEverywhere)
{
    start();
    auto next = apply("0.6");
    EXPECT_TRUE(waitUntilInForce(next, 3));
    auto missing = status(std::to_string(std::stol(next) + 1));
    EXPECT_EQ(missing.exitCode, exitUnknown);
    EXPECT_THAT(missing.text, testing::HasSubstr("threads-bangsar in bangsar has revision " + next + "\n"));
}

// Guards against a node that is told of contracts by others alone, and keeps the old ones once none of them answers.
TEST_F(contract_at_nodes_test, ANodeThatIsLeftAloneLearnsOfAnAcceptedContract)
{
    constexpr int count = 4;
    m_revision = apply("0.5");
    for (int number = 1; number <= count; ++number) {
        addNode("threads-" + std::to_string(number), "bangsar", "");
    }
    auto revisionAt = [this](const std::string& name) {
        const std::string metric = "\nvanillashunt_contract_revision ";
        auto text = std::get<http_answer>(request("GET", m_mesh.server(name).operators(), "/metrics")).body;
        return std::to_string(std::stol(text.substr(text.find(metric) + metric.size())));
    };
    auto signalOthers = [this](const std::string& spared, int signal) {
        for (auto& [name, server] : m_mesh.servers()) {
            if (name != spared) {
                server->node->signal(signal);
            }
        }
    };
    for (const auto& last : m_mesh.names()) {
        EXPECT_TRUE(waitUntil([&] { return revisionAt(last) == m_revision; }));
        signalOthers(last, SIGSTOP);
        m_revision = apply(last == m_mesh.names().front() ? "0.6" : "0." + std::to_string(60 + last.back() - '0'));
        EXPECT_TRUE(waitUntil([&] { return revisionAt(last) == m_revision; })) << last;
        signalOthers(last, SIGCONT);
    }
}

TEST_F(contract_at_nodes_test, AStoreThatForgetsItsHistoryIsWatchedAllTheSame)
{
    start();
    auto& store = m_mesh.platform();
    // Other writes come after the contract, and then the store compacts them.
    for (int i = 0; i < 5; ++i) {
        request("POST", store.address(), "/v3/kv/put", {}, R"({"key":"eA==","value":"eA=="})");
    }
    store.control(R"({"compact":true})");
    store.control(R"({"down":true})");
    store.control(R"({"down":false})");
    EXPECT_TRUE(waitUntil([&] { return store.read("/control/calls")["open_watches"].asUInt64() == 3; }));
    EXPECT_TRUE(waitUntilInForce(apply("0.6"), 3));
}

TEST_F(contract_at_nodes_test, NobodyGoesBackToAStaleStore)
{
    stand_in lagging({ "platform" });
    m_mesh.addEndpoint(lagging.address());
    start();
    auto& store = m_mesh.platform();
    store.control(R"({"stale":true})");
    m_revision = apply("0.6");
    store.control(R"({"stale":false})");
    ASSERT_TRUE(waitUntilInForce(m_revision, 3));
    // From now on the nodes can read only a member of the store that lags behind.
    mesh::putContractAt(lagging, "hotel-seri", contractWithShare("0.5"));
    store.control(R"({"down":true})");
    // A watch begins after a read of the contracts.
    ASSERT_TRUE(waitUntil([&] { return lagging.read("/control/calls")["open_watches"].asUInt64() == 3; }));
    expectNobodyBelow(m_revision, 3);
}

TEST_F(contract_at_nodes_test, ANodeThatStartsWhileTheStoreIsDownLearnsFromAPeer)
{
    start();
    m_mesh.platform().control(R"({"down":true})");
    addNode("late", "cyberjaya", "join = [\"" + m_mesh.server("threads-bangsar").nodeReady["peer"].asString() + "\"]\n");
    EXPECT_TRUE(waitUntilInForce(m_revision, 4));
    m_mesh.platform().control(R"({"down":false})");
    EXPECT_TRUE(waitUntilInForce(apply("0.6"), 4));
}

}
