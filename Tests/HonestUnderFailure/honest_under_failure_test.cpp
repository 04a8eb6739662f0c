#include "Harness/contract_texts.h"
#include "Harness/load_run.h"

#include <gtest/gtest.h>

#include <csignal>

namespace vanillashunt {

namespace {

    constexpr const char* mix = "name=stay-details,method=GET,path=/stay/details,customer=hotel-seri,weight=0.5,timeout_ms=2000,tree=1;"
                                "name=desk-reply,method=POST,path=/desk/reply,customer=hotel-seri,weight=0.5,keyed=1,timeout_ms=2000,tree=2";

    const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };

    // Two services in three zones, and a load of reads and replies on all nodes
    // while the test breaks something.
    class failing_mesh {
    public:
        failing_mesh()
        {
            m_mesh.putContract("hotel-seri", stayAndDeskContract);
            for (const auto& zone : zones) {
                add("stay", zone, "");
                add("desk", zone, "stay:/room:GET");
            }
            m_isServing = m_mesh.waitUntilServing("/stay/details", { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", "warm-up" } });
        }

        bool isServing() const { return m_isServing; }
        mesh& servers() { return m_mesh; }

        // Breaks the mesh once the load is seen to be answered, and mends it a while after.
        void run(const std::function<void()>& breakIt, const std::function<void()>& mendIt)
        {
            load_run load({ m_mesh.callers(), mix, "150:6", { "--retries", "4", "--retry-delay-ms", "20" }, 1 });
            waitForRuns(50);
            breakIt();
            waitForRuns(250);
            mendIt();
            m_requests = load.finish();
            for (const auto& [name, server] : m_mesh.servers()) {
                auto runs = readRunFile(server->spec.service, logOf(name));
                m_runs.insert(m_runs.end(), runs.begin(), runs.end());
            }
        }

        run_audit audit() const
        {
            return auditRuns({ { "stay-details", "stay", true }, { "desk-reply", "desk", false } }, m_requests, m_runs);
        }

        std::size_t offered() const { return m_requests.size(); }

    private:
        std::filesystem::path logOf(const std::string& name) const { return m_mesh.folder() / (name + ".runs"); }

        void add(const std::string& service, const std::string& zone, const std::string& calls)
        {
            auto name = service + "-" + zone;
            std::vector<std::string> options { "--service-ms", "5", "--slots", "30", "--log", logOf(name).string() };
            if (!calls.empty()) {
                options.insert(options.end(), { "--calls", calls });
            }
            m_mesh.add({ name, service, zone, options, "" });
        }

        // Waits until the one server that no test breaks has run that many more calls.
        void waitForRuns(std::size_t more)
        {
            auto runs = [&] { return readRuns(m_mesh.server("stay-bangsar")).size(); };
            auto before = runs();
            EXPECT_TRUE(waitUntil([&] { return runs() >= before + more; }, std::chrono::seconds(5))) << "the load ran dry";
        }

        mesh m_mesh;
        bool m_isServing = false;
        std::vector<request_record> m_requests;
        std::vector<run_record> m_runs;
    };

    void expectHonest(const failing_mesh& mesh, double leastPart)
    {
        auto audit = mesh.audit();
        EXPECT_EQ(audit.doubleRuns, 0U);
        EXPECT_EQ(audit.falseNotRun, 0U);
        EXPECT_EQ(audit.wrongAnswers, 0U);
        EXPECT_GE(static_cast<double>(audit.whole), leastPart * static_cast<double>(mesh.offered()));
    }

}

TEST(HonestUnderFailure, ANodeIsKilled)
{
    failing_mesh mesh;
    ASSERT_TRUE(mesh.isServing());
    mesh.run([&] { mesh.servers().server("desk-cyberjaya").node->kill(); }, [] {});
    expectHonest(mesh, 0.75);
}

TEST(HonestUnderFailure, ABackendServerIsKilled)
{
    failing_mesh mesh;
    ASSERT_TRUE(mesh.isServing());
    mesh.run([&] { mesh.servers().server("desk-cyberjaya").backend->process().kill(); }, [] {});
    expectHonest(mesh, 0.9);
}

TEST(HonestUnderFailure, ANodeIsFrozenAndWakes)
{
    failing_mesh mesh;
    ASSERT_TRUE(mesh.isServing());
    auto& node = *mesh.servers().server("desk-shah-alam").node;
    mesh.run([&] { node.signal(SIGSTOP); }, [&] { node.signal(SIGCONT); });
    expectHonest(mesh, 0.7);
}

TEST(HonestUnderFailure, TheStoreLosesAnswersThenIsDown)
{
    failing_mesh mesh;
    ASSERT_TRUE(mesh.isServing());
    auto& store = mesh.servers().platform();
    mesh.run([&] { store.control(R"({"lose_answers":40})"); }, [&] { store.control(R"({"down":true})"); });
    expectHonest(mesh, 0.95);
}

}
