#include "Harness/command_run.h"
#include "Harness/load_run.h"
#include "RawSocket/closing_port.h"
#include "RawSocket/message_head.h"

#include <gmock/gmock.h>

#include <csignal>
#include <future>

namespace vanillashunt {

namespace {

    using std::chrono::system_clock;

    constexpr const char* contractText = R"(
customer = "hotel-seri"
share = 1.0

[[class]]
name = "stay-details"
service = "stay"
method = "GET"
path = "/details"
idempotent = true
importance = "interactive"
deadline = "20s"
target = 0.99
retries = 2

[[class]]
name = "desk-reply"
service = "desk"
method = "POST"
path = "/reply"
idempotent = false
importance = "confirmed"
deadline = "20s"
target = 0.999
retries = 2

[[class]]
name = "slow"
service = "slow"
method = "GET"
path = "/details"
idempotent = true
importance = "interactive"
deadline = "20s"
target = 0.99
retries = 0
)";

    constexpr const char* mix = "name=stay-details,method=GET,path=/stay/details,customer=hotel-seri,weight=0.5,timeout_ms=20000,tree=1;"
                                "name=desk-reply,method=POST,path=/desk/reply,customer=hotel-seri,weight=0.5,keyed=1,timeout_ms=20000,tree=2";

    const std::vector<std::string> zones { "cyberjaya", "shah-alam", "bangsar" };

    // A leaving server gets no new work later than this after the stop began.
    constexpr std::chrono::seconds newWorkBound { 3 };

    // Two services in three zones, of which a desk calls a stay.
    class rolling_stop_test : public testing::Test {
    protected:
        void SetUp() override
        {
            m_mesh.putContract("hotel-seri", contractText);
            for (const auto& zone : zones) {
                start("stay", zone);
                start("desk", zone);
            }
            ASSERT_TRUE(m_mesh.waitUntilServing("/stay/details", guest()));
            ASSERT_TRUE(waitUntil([&] { return isDeskServing(); }));
        }

        static http_fields guest() { return { { "Vanillashunt-Customer", "hotel-seri" }, { "X-Nonce", "warm-up" }, { "Vanillashunt-Attempt", "1" } }; }

        bool isDeskServing()
        {
            auto result = request("POST", m_mesh.server("stay-bangsar").caller(), "/desk/reply", guest());
            const auto* answer = std::get_if<http_answer>(&result);
            return answer && answer->status == 200;
        }

        // Starts a server, anew if it was there before; its runs go to a file of their own.
        void start(const std::string& service, const std::string& zone)
        {
            auto name = service + "-" + zone;
            auto log = m_mesh.folder() / (name + "-" + std::to_string(m_logs.size()) + ".runs");
            server_spec spec;
            spec.name = name;
            spec.service = service;
            spec.availabilityZone = zone;
            spec.backendOptions = { "--service-ms", "5", "--slots", "30", "--log", log.string() };
            if (service == "desk") {
                spec.backendOptions.insert(spec.backendOptions.end(), { "--calls", "stay:/room:GET" });
            }
            m_mesh.add(spec);
            m_logs.push_back({ service, log });
        }

        std::size_t runsAt(const std::string& name) { return readRuns(m_mesh.server(name)).size(); }

        void waitForRuns(const std::string& name, std::size_t more)
        {
            auto before = runsAt(name);
            EXPECT_TRUE(waitUntil([&] { return runsAt(name) >= before + more; })) << name << " gets no work";
        }

        std::vector<run_record> allRuns() const
        {
            std::vector<run_record> all;
            for (const auto& log : m_logs) {
                auto runs = readRunFile(log.service, log.path);
                all.insert(all.end(), runs.begin(), runs.end());
            }
            return all;
        }

        static void expectNoneLate(const std::vector<run_record>& runs, system_clock::time_point stopBegan)
        {
            for (const auto& run : runs) {
                EXPECT_LE((run.start - stopBegan).count(), system_clock::duration(newWorkBound).count()) << "new work at a leaving server";
            }
        }

        // Every request is answered whole, and none was cut off on its way: a caller
        // that comes to a closed port was refused, and can know that nothing ran.
        void expectNoneCutOff(const std::vector<request_record>& requests) const
        {
            auto audit = auditRuns({ { "stay-details", "stay", true }, { "desk-reply", "desk", false } }, requests, allRuns());
            EXPECT_EQ(audit.whole, requests.size());
            EXPECT_EQ(audit.doubleRuns, 0U);
            EXPECT_EQ(audit.falseNotRun, 0U);
            EXPECT_EQ(audit.wrongAnswers, 0U);
            for (const auto& request : requests) {
                for (std::size_t i = 0; i < request.verdicts.size(); ++i) {
                    bool cut = request.verdicts[i] == "timeout" || (request.verdicts[i] == "broken" && request.reasons[i] != "connect: Connection refused");
                    EXPECT_FALSE(cut) << request.name << ": " << request.reasons[i];
                }
            }
        }

        // Stops one server in the way that a platform does, under a load on all nodes,
        // and starts it again.
        void rollUnderLoad(const std::string& service, const std::string& zone)
        {
            auto name = service + "-" + zone;
            SCOPED_TRACE(name);
            load_run load({ m_mesh.callers(), mix, "100:60", { "--retries", "8", "--retry-delay-ms", "20" }, m_logs.size() });
            waitForRuns(name, 20);
            auto stopBegan = system_clock::now();
            auto& server = m_mesh.server(name);
            server.backend->control(R"({"drain":true})");
            auto end = m_mesh.stopNode(name);
            ASSERT_TRUE(end);
            EXPECT_EQ(end->exitCode, 0);
            auto other = zone == "bangsar" ? "cyberjaya" : "bangsar";
            waitForRuns(service + "-" + other, 20);
            load.stopArrivals();
            auto requests = load.finish();
            EXPECT_GT(requests.size(), 60U);
            expectNoneLate(readRuns(server), stopBegan);
            expectNoneCutOff(requests);
            start(service, zone);
            ASSERT_TRUE(m_mesh.waitUntilServing("/stay/details", guest()));
        }

        std::string operators(const std::string& name) { return m_mesh.server(name).operators(); }

        struct run_log {
            std::string service;
            std::filesystem::path path;
        };

        mesh m_mesh;
        std::vector<run_log> m_logs;
    };

}

TEST_F(rolling_stop_test, EveryServerInTurnUnderLoad)
{
    for (const auto& zone : zones) {
        rollUnderLoad("desk", zone);
        rollUnderLoad("stay", zone);
    }
}

TEST_F(rolling_stop_test, ARunInProgressMayStillCallOnward)
{
    // Half of the time comes before the onward call, long after the ports could close.
    auto& desk = m_mesh.server("desk-cyberjaya");
    desk.backend->control(R"({"service_ms":5000})");
    for (const std::string zone : { "shah-alam", "bangsar" }) {
        m_mesh.server("desk-" + zone).backend->control(R"({"drain":true})");
    }
    auto before = runsAt("desk-cyberjaya");
    auto answer = std::async(std::launch::async, [&] { return request("POST", m_mesh.server("stay-bangsar").caller(), "/desk/reply", guest(), "", std::chrono::seconds(30)); });
    ASSERT_TRUE(waitUntil([&] { return runsAt("desk-cyberjaya") > before; }));
    auto end = m_mesh.stopNode("desk-cyberjaya");
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
    auto result = answer.get();
    ASSERT_TRUE(std::holds_alternative<http_answer>(result)) << std::get<http_error>(result).message;
    const auto& whole = std::get<http_answer>(result);
    EXPECT_EQ(whole.status, 200U) << whole.body;
    EXPECT_EQ(parseJson(whole.body)["children"].size(), 1U);
}

TEST_F(rolling_stop_test, AtTheDrainTimeoutANodeExitsFromItsWork)
{
    server_spec spec;
    spec.name = "slow";
    spec.service = "slow";
    spec.availabilityZone = "bangsar";
    spec.backendOptions = { "--service-ms", "60000" };
    spec.settings = "[limits]\ndrain_timeout = \"2s\"\n";
    auto& slow = m_mesh.add(spec);
    auto answer = std::async(std::launch::async, [&] {
        http_result result;
        waitUntil([&] {
            result = request("GET", m_mesh.server("stay-bangsar").caller(), "/slow/details", guest(), "", std::chrono::seconds(30));
            const auto* refused = std::get_if<http_answer>(&result);
            return !refused || refused->field("Vanillashunt-Verdict") != "not_run";
        });
        return result;
    });
    ASSERT_TRUE(waitUntil([&] { return runsAt("slow") > 0; }));
    auto end = m_mesh.stopNode("slow");
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
    auto result = answer.get();
    ASSERT_TRUE(std::holds_alternative<http_answer>(result));
    EXPECT_EQ(std::get<http_answer>(result).field("Vanillashunt-Verdict"), "may_have_run");
    slow.backend->process().kill();
}

// Guards against a stopping node that accepts late requests, or exits at its drain timeout
// without answering a request that is still running.
TEST_F(rolling_stop_test, ANodeAnswersItsCallersBeforeItExits)
{
    server_spec spec;
    spec.name = "slow";
    spec.service = "slow";
    spec.availabilityZone = "bangsar";
    spec.backendOptions = { "--service-ms", "60000" };
    spec.settings = "[limits]\ndrain_timeout = \"4s\"\n";
    auto& slow = m_mesh.add(spec);
    auto ask = [&](const std::string& path) { return request("GET", slow.caller(), path, guest(), "", std::chrono::seconds(30)); };
    auto fieldOf = [](const http_result& result, const char* name) {
        const auto* answer = std::get_if<http_answer>(&result);
        return answer ? answer->field(name) : "";
    };
    ASSERT_TRUE(waitUntil([&] { return fieldOf(ask("/stay/details"), "Vanillashunt-Verdict") == "ran"; }));
    auto running = std::async(std::launch::async, [&] { return ask("/slow/details"); });
    ASSERT_TRUE(waitUntil([&] { return runsAt("slow") > 0; }));
    slow.node->signal(SIGTERM);
    EXPECT_TRUE(waitUntil([&] { return fieldOf(ask("/stay/details"), "Vanillashunt-Reason") == "draining"; }));
    EXPECT_EQ(fieldOf(running.get(), "Vanillashunt-Verdict"), "may_have_run");
    auto end = slow.node->wait();
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
    slow.backend->process().kill();
}

// Guards against a stopping node that closes a new connection before its first request: the client cannot
// know whether the request has run.
TEST_F(rolling_stop_test, ANodeAnswersAClientThatConnectedJustBeforeItsPortClosed)
{
    auto& stay = m_mesh.server("stay-bangsar");
    stay.backend->control(R"({"drain":true})");
    stay.node->signal(SIGTERM);
    auto last = lastConnectionBeforePortCloses(stay.caller());
    last.send("GET /stay/details HTTP/1.1\r\nHost: a.example\r\nVanillashunt-Customer: hotel-seri\r\n\r\n");
    EXPECT_EQ(fieldOf(last.readUntil("\r\n\r\n"), "Vanillashunt-Verdict"), "not_run");
    auto end = stay.node->wait();
    ASSERT_TRUE(end);
    EXPECT_EQ(end->exitCode, 0);
}

TEST_F(rolling_stop_test, ManyNodesThatStopAtOnceAllExit)
{
    std::vector<std::string> names;
    for (int i = 0; i < 24; ++i) {
        server_spec spec;
        spec.name = "node-" + std::to_string(i);
        spec.availabilityZone = zones[static_cast<std::size_t>(i) % zones.size()];
        spec.nodeSettings = "log_level = \"error\"\n";
        m_mesh.add(spec);
        names.push_back(spec.name);
    }
    for (const auto& name : names) {
        m_mesh.server(name).node->signal(SIGTERM);
    }
    for (const auto& name : names) {
        auto end = m_mesh.server(name).node->wait();
        ASSERT_TRUE(end) << name << " does not exit";
        EXPECT_EQ(end->exitCode, 0);
    }
}

TEST_F(rolling_stop_test, AnAnnouncedStopIsTakenBack)
{
    load_run load({ m_mesh.callers(), mix, "100:60", { "--retries", "8", "--retry-delay-ms", "20" }, 1 });
    waitForRuns("stay-shah-alam", 20);
    auto announced = system_clock::now();
    EXPECT_EQ(runCommand({ "stop", "announce", "--node", operators("stay-shah-alam") }).text, operators("stay-shah-alam") + " takes no new work\n");
    // The others have work for longer than the bound.
    ASSERT_TRUE(waitUntil([&] { return system_clock::now() - announced > newWorkBound + std::chrono::seconds(1); }));
    waitForRuns("stay-bangsar", 20);
    auto quiet = readRuns(m_mesh.server("stay-shah-alam"));
    expectNoneLate(quiet, announced);
    EXPECT_EQ(runCommand({ "stop", "withdraw", "--node", operators("stay-shah-alam") }).text, operators("stay-shah-alam") + " takes new work\n");
    waitForRuns("stay-shah-alam", 20);
    load.stopArrivals();
    expectNoneCutOff(load.finish());
}

}
