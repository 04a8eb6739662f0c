#include "Harness/command_run.h"
#include "Harness/contract_texts.h"
#include "Harness/mesh.h"

#include <gtest/gtest.h>

#include <sstream>

namespace vanillashunt {

namespace {

    // A whole JSON-RPC request, and the code of its error.
    struct bad_request {
        std::string text;
        int code;
    };

    std::string operatorPort(const mesh_server& server)
    {
        return server.nodeReady["operator"].asString();
    }

    http_answer answerOf(const http_result& result)
    {
        if (const auto* error = std::get_if<http_error>(&result)) {
            ADD_FAILURE() << error->message;
            return {};
        }
        return std::get<http_answer>(result);
    }

    Json::Value callRpc(const std::string& address, const std::string& text)
    {
        auto answer = answerOf(request("POST", address, "/rpc", { { "Content-Type", "application/json" } }, text));
        EXPECT_EQ(answer.status, 200U);
        return parseJson(answer.body);
    }

    Json::Value callMethod(const std::string& address, const std::string& method, const std::string& parameters = "{}")
    {
        return callRpc(address, R"({"jsonrpc":"2.0","id":7,"method":")" + method + R"(","params":)" + parameters + "}");
    }

    http_fields guest()
    {
        return { { "Vanillashunt-Customer", "hotel-seri" }, { "Vanillashunt-Attempt", "1" } };
    }

    std::string metricsOf(const mesh_server& server)
    {
        return answerOf(request("GET", operatorPort(server), "/metrics")).body;
    }

    // The value of a metric with its labels; nothing while it is not there.
    std::optional<double> valueOf(const std::string& metrics, const std::string& name)
    {
        std::istringstream lines(metrics);
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind(name + " ", 0) == 0) {
                return std::stod(line.substr(name.size() + 1));
            }
        }
        return std::nullopt;
    }

    std::vector<Json::Value> jsonLines(const std::string& text)
    {
        std::vector<Json::Value> values;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            values.push_back(parseJson(line));
        }
        return values;
    }

    // Two nodes with a backend server each.
    class two_nodes {
    public:
        two_nodes()
        {
            m_hotel.putContract("hotel-seri", contractWithShare("0.5"));
            add("threads-1", "cyberjaya");
            add("threads-2", "bangsar");
        }

        mesh_server& first() { return m_hotel.server("threads-1"); }
        mesh_server& second() { return m_hotel.server("threads-2"); }

        // Waits until both nodes serve and know each other.
        bool waitUntilReady()
        {
            return isServing() && waitUntil([&] { return knowsBoth(first()) && knowsBoth(second()); });
        }

        bool isServing() { return m_hotel.waitUntilServing("/threads/history/1", guest()); }

    private:
        void add(const std::string& name, const std::string& zone)
        {
            server_spec spec;
            spec.name = name;
            spec.service = "threads";
            spec.availabilityZone = zone;
            m_hotel.add(spec);
        }

        static bool knowsBoth(const mesh_server& server)
        {
            return callMethod(operatorPort(server), "dump")["result"]["members"].size() == 2;
        }

        mesh m_hotel;
    };

}

TEST(OperatorPort, AnswersWrongRequestsWithTheirErrors)
{
    two_nodes nodes;
    ASSERT_TRUE(nodes.waitUntilReady());
    const std::string open = R"({"jsonrpc":"2.0","id":7,"method":)";
    const std::vector<bad_request> cases {
        { open + R"("nope","params":{}})", -32601 },
        { open + R"("contracts_since","params":{}})", -32602 },
        { open + R"("contracts_since","params":{"revision":"3"}})", -32602 },
        { open + R"("contracts_since","params":{"revision":-1}})", -32602 },
        { open + R"("contracts_since","params":{"revision":18446744073709551615}})", -32602 },
        { open + R"("explain","params":["00"]})", -32602 },
        { open + R"("explain","params":7})", -32600 },
        { open + "7}", -32600 },
        { R"({"id":7,"method":"dump"})", -32600 },
        { "7", -32600 },
        { "[]", -32600 },
        { "{", -32700 },
        { "", -32700 },
    };
    for (const auto& wrong : cases) {
        auto answer = callRpc(operatorPort(nodes.first()), wrong.text);
        EXPECT_EQ(answer["jsonrpc"], "2.0") << wrong.text;
        EXPECT_EQ(answer["error"]["code"], wrong.code) << wrong.text;
        EXPECT_FALSE(answer["error"]["message"].asString().empty()) << wrong.text;
    }
    auto deep = callRpc(operatorPort(nodes.first()), std::string(100000, '['));
    EXPECT_EQ(deep["error"]["code"], -32600);
    auto batch = callRpc(operatorPort(nodes.first()), "[" + open + R"("status"},)" + open + R"("nope"}])");
    ASSERT_EQ(batch.size(), 2U);
    EXPECT_EQ(batch[0]["result"]["name"], "threads-1");
    EXPECT_EQ(batch[1]["error"]["code"], -32601);
}

TEST(OperatorPort, ServesItsTwoPathsOnly)
{
    two_nodes nodes;
    ASSERT_TRUE(nodes.waitUntilReady());
    auto address = operatorPort(nodes.first());
    EXPECT_EQ(answerOf(request("GET", address, "/rpc")).status, 405U);
    EXPECT_EQ(answerOf(request("GET", address, "/rpc")).field("Allow"), "POST");
    EXPECT_EQ(answerOf(request("POST", address, "/metrics")).status, 405U);
    EXPECT_EQ(answerOf(request("GET", address, "/dump")).status, 404U);
}

TEST(OperatorPort, DumpsTheWholeState)
{
    two_nodes nodes;
    ASSERT_TRUE(nodes.waitUntilReady());
    auto dump = callMethod(operatorPort(nodes.first()), "dump")["result"];
    EXPECT_EQ(dump["node"]["name"], "threads-1");
    EXPECT_EQ(dump["node"]["incarnation"], nodes.first().nodeReady["incarnation"]);
    EXPECT_EQ(dump["node"]["operator"], nodes.first().nodeReady["operator"]);
    EXPECT_NE(dump["settings"].asString().find("availability_zone = \"cyberjaya\""), std::string::npos);
    EXPECT_EQ(dump["contracts"]["customers"]["hotel-seri"]["classes"], 1);
    EXPECT_GT(dump["contracts"]["revision"].asInt64(), 0);
    EXPECT_EQ(dump["members"].size(), 2U);
    EXPECT_EQ(dump["membership"]["members"].size(), 2U);
    EXPECT_EQ(dump["calls"]["backend_server"]["service"], "threads");
    EXPECT_EQ(dump["calls"]["outbound"]["in_progress"], 0);
    EXPECT_EQ(dump["peers"]["crossed_answers"], 0);
}

TEST(OperatorPort, ShowsMetricsOfARunningNode)
{
    two_nodes nodes;
    ASSERT_TRUE(nodes.waitUntilReady());
    const std::string answered = R"(vanillashunt_requests_total{importance="deferrable",reason="answered",verdict="ran"})";
    const std::string unknown = R"(vanillashunt_requests_total{importance="none",reason="unknown_customer",verdict="not_run"})";
    auto before = metricsOf(nodes.first());
    auto answeredBefore = valueOf(before, answered).value_or(0);
    auto unknownBefore = valueOf(before, unknown).value_or(0);
    EXPECT_EQ(answerOf(request("GET", nodes.first().caller(), "/threads/history/1", guest())).status, 200U);
    EXPECT_EQ(answerOf(request("GET", nodes.first().caller(), "/threads/history/1", { { "Vanillashunt-Customer", "nobody" } })).status, 404U);
    auto metrics = metricsOf(nodes.first());
    EXPECT_EQ(valueOf(metrics, answered), answeredBefore + 1);
    EXPECT_EQ(valueOf(metrics, unknown), unknownBefore + 1);
    EXPECT_EQ(valueOf(metrics, R"(vanillashunt_requests_answered_total{importance="deferrable"})"), answeredBefore + 1);
    EXPECT_EQ(valueOf(metrics, "vanillashunt_members"), 2);
    EXPECT_GT(valueOf(metrics, "vanillashunt_contract_revision"), 0);
    EXPECT_GT(valueOf(metrics, "vanillashunt_gate_limit_calls"), 0);
    EXPECT_GT(valueOf(metrics, "process_start_time_seconds"), 1.0e9);
}

TEST(OperatorPort, CommandsAskTheNodes)
{
    two_nodes nodes;
    ASSERT_TRUE(nodes.waitUntilReady());
    auto status = runCommand({ "status", operatorPort(nodes.first()), "--all", "--json" });
    EXPECT_EQ(status.exitCode, 0);
    auto lines = jsonLines(status.text);
    ASSERT_EQ(lines.size(), 2U) << status.text;
    EXPECT_EQ(lines[0]["name"], "threads-1");
    EXPECT_EQ(lines[1]["name"], "threads-2");
    EXPECT_EQ(lines[1]["asked"], operatorPort(nodes.second()));
    auto table = runCommand({ "status", operatorPort(nodes.second()) });
    EXPECT_EQ(table.text.rfind("NAME ", 0), 0U) << table.text;
    auto dump = runCommand({ "dump", "--node", operatorPort(nodes.second()) });
    EXPECT_EQ(parseJson(dump.text)["node"]["name"], "threads-2");
    auto half = runCommand({ "status", "--json", operatorPort(nodes.first()), "127.0.0.1:1" });
    EXPECT_EQ(half.exitCode, 5);
    EXPECT_EQ(jsonLines(half.text).size(), 1U);
    EXPECT_EQ(runForErrors({ "status", nodes.first().caller() }).text,
        "vanillashunt status: " + nodes.first().caller() + " refused: it answered with HTTP status 404, so it is no operator port\n");
}

TEST(OperatorPort, ExplainsWhatBecameOfARequest)
{
    two_nodes nodes;
    ASSERT_TRUE(nodes.waitUntilReady());
    auto answer = answerOf(request("GET", nodes.first().caller(), "/threads/history/1", guest()));
    auto id = answer.field("Vanillashunt-Request-Id");
    auto explained = runCommand({ "explain", id, "--node", operatorPort(nodes.first()), "--json" });
    EXPECT_EQ(explained.exitCode, 0);
    auto decisions = parseJson(explained.text)["decisions"];
    ASSERT_GE(decisions.size(), 2U) << explained.text;
    EXPECT_EQ(decisions[0]["decision"], "attempt");
    EXPECT_EQ(decisions[decisions.size() - 1]["decision"], "finished");
    EXPECT_EQ(decisions[decisions.size() - 1]["reason"], "answered");

    auto unknown = runForErrors({ "explain", "00", operatorPort(nodes.first()), "--all" });
    EXPECT_EQ(unknown.exitCode, 4);
    EXPECT_EQ(unknown.text, "vanillashunt explain: no node asked remembers request '00'; ask the node that it entered at, or all with --all\n");
}

TEST(OperatorPort, AnnouncesAStopAndTakesItBack)
{
    two_nodes nodes;
    ASSERT_TRUE(nodes.waitUntilReady());
    auto address = operatorPort(nodes.first());
    auto isDraining = [&] { return callMethod(address, "status")["result"]["draining"].asBool(); };
    auto announced = runCommand({ "stop", "announce", "--node", address });
    EXPECT_EQ(announced.exitCode, 0);
    EXPECT_EQ(announced.text, address + " takes no new work\n");
    EXPECT_TRUE(isDraining());
    EXPECT_EQ(valueOf(metricsOf(nodes.first()), "vanillashunt_draining"), 1);
    EXPECT_EQ(runCommand({ "stop", "withdraw", "--node", address }).text, address + " takes new work\n");
    EXPECT_FALSE(isDraining());
    EXPECT_TRUE(nodes.isServing());
}

}
