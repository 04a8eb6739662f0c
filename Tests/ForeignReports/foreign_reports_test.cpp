#include "http/json_text.h"
#include "node/server_reports.h"
#include "platform/route_document.h"
#include "platform/server_report.h"

#include <gtest/gtest.h>
#include <json/value.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace vanillashunt {

namespace {

    constexpr std::uint64_t born = 1800000000123;

    Json::Value heartbeatBody()
    {
        Json::Value body;
        body["service"] = "threads";
        body["address"] = "192.0.2.1:80";
        body["zone"] = "a";
        body["version"] = "v1";
        body["capacity"] = 42;
        body["state"] = "ready";
        body["warmup_left_s"] = 0.5;
        body["sequence"] = 4;
        body["born"] = Json::UInt64(born);
        return body;
    }

    http_request heartbeat(const std::string& body)
    {
        return { "POST", "/Instances.Heartbeat/i-1", {}, body };
    }

    bool isServerReport(const std::string& body)
    {
        return std::holds_alternative<server_report>(parseServerReport(heartbeat(body)));
    }

    std::string bodyWith(const std::string& name, const Json::Value& value)
    {
        auto body = heartbeatBody();
        body[name] = value;
        return writeJson(body);
    }

    Json::Value nested(int depth)
    {
        Json::Value value(1);
        for (int level = 0; level < depth; ++level) {
            Json::Value list;
            list.append(value);
            value = list;
        }
        return value;
    }

    // Values that are invalid in every field of a report.
    std::vector<Json::Value> foreignValues()
    {
        Json::Value object;
        object["ready"] = true;
        return { Json::Value(Json::nullValue), Json::Value(true), Json::Value(-1), Json::Value(Json::Int64(-9223372036854775807LL)), Json::Value(1e300), Json::Value(-0.5), Json::Value(""), nested(5), object };
    }

    // Changes some of the bytes at random; to be called within a RapidCheck property.
    std::string damageText(std::string text)
    {
        auto changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes; ++change) {
            auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            text[position] = *rc::gen::arbitrary<char>();
        }
        return text;
    }

    // Handles reports as a node does whose configuration has one service.
    struct report_port {
        server_reports reports { { [](const std::string& service) { return service == "threads"; }, [] {}, [] { return std::chrono::system_clock::now(); }, [] { return 1U; } }, {} };
        std::chrono::steady_clock::time_point now { std::chrono::seconds(100) };

        unsigned handle(const std::string& body) { return reports.handle(heartbeat(body), now).status; }
    };

}

TEST(ForeignReports, AValidReportIsParsed)
{
    auto parsed = parseServerReport(heartbeat(writeJson(heartbeatBody())));
    ASSERT_TRUE(std::holds_alternative<server_report>(parsed));
    const auto& report = std::get<server_report>(parsed);
    ASSERT_TRUE(report.start.born);
    EXPECT_EQ(report.start.born->time_since_epoch(), std::chrono::milliseconds(born));
}

TEST(ForeignReports, AreRejectedIfAFieldIsMissing)
{
    for (const auto& name : heartbeatBody().getMemberNames()) {
        SCOPED_TRACE(name);
        auto body = heartbeatBody();
        body.removeMember(name);
        // The start time is the only optional field.
        EXPECT_EQ(isServerReport(writeJson(body)), name == "born");
    }
}

TEST(ForeignReports, AreRejectedIfAFieldHasAWrongTypeOrRange)
{
    for (const auto& name : heartbeatBody().getMemberNames()) {
        for (const auto& value : foreignValues()) {
            SCOPED_TRACE(name + ": " + writeJson(value));
            EXPECT_FALSE(isServerReport(bodyWith(name, value)));
        }
    }
    EXPECT_FALSE(isServerReport(bodyWith("state", "gone")));
    EXPECT_FALSE(isServerReport(bodyWith("capacity", "42")));
    EXPECT_FALSE(isServerReport(bodyWith("capacity", 4.5)));
    EXPECT_FALSE(isServerReport(bodyWith("capacity", Json::UInt64(1) << 40)));
    EXPECT_FALSE(isServerReport(bodyWith("capacity", 0)));
    EXPECT_FALSE(isServerReport(bodyWith("born", "1800000000123")));
    EXPECT_FALSE(isServerReport(bodyWith("born", 1800000000123.5)));
}

// The slots of a server that leaves do not matter. Rejecting the report would keep the node sending
// new work to the server.
TEST(ForeignReports, AreAcceptedWithoutSlotsFromAServerThatLeaves)
{
    auto body = heartbeatBody();
    body["state"] = "draining";
    body["capacity"] = 0;
    EXPECT_TRUE(isServerReport(writeJson(body)));
}

TEST(ForeignReports, AreRejectedIfTheyAreNotValidJson)
{
    auto text = writeJson(heartbeatBody());
    for (std::size_t length = 0; length < text.size(); ++length) {
        EXPECT_FALSE(isServerReport(text.substr(0, length)));
    }
    EXPECT_FALSE(isServerReport(text + "}"));
    EXPECT_FALSE(isServerReport("[" + text + "]"));
    EXPECT_FALSE(isServerReport(R"({"service":NaN})"));
    EXPECT_FALSE(isServerReport(writeJson(nested(60))));
    EXPECT_FALSE(isServerReport(std::string(100000, '[')));
}

TEST(ForeignReports, DoNotChangeTheStateOfTheServer)
{
    report_port port;
    EXPECT_EQ(port.handle(writeJson(heartbeatBody())), 200U);
    for (const auto& body : { bodyWith("state", "gone"), bodyWith("service", "elsewhere"), bodyWith("capacity", "many"), std::string("\xff\xfe{") }) {
        EXPECT_EQ(port.handle(body), 400U);
        EXPECT_TRUE(port.reports.takesWork());
        EXPECT_EQ(port.reports.current()->slots, 42U);
    }
    auto withoutStart = heartbeatBody();
    withoutStart.removeMember("born");
    withoutStart["state"] = "draining";
    EXPECT_EQ(port.handle(writeJson(withoutStart)), 400U);
    EXPECT_TRUE(port.reports.takesWork());
    EXPECT_EQ(port.reports.refused(), 5U);
}

TEST(ForeignReports, DoNotDeregisterTheServer)
{
    report_port port;
    port.handle(writeJson(heartbeatBody()));
    for (const std::string body : { "{", "[]", R"({"born":"then"})", R"({"born":-1})" }) {
        EXPECT_EQ(port.reports.handle({ "POST", "/Instances.Deregister/i-1", {}, body }, port.now).status, 400U);
        EXPECT_TRUE(port.reports.takesWork());
    }
    EXPECT_EQ(port.reports.handle({ "POST", "/Instances.Deregister/i-1", {}, R"({"born":)" + std::to_string(born - 1) + "}" }, port.now).status, 200U);
    EXPECT_TRUE(port.reports.takesWork());
    EXPECT_EQ(port.reports.handle({ "POST", "/Instances.Deregister/i-1", {}, R"({"born":)" + std::to_string(born) + "}" }, port.now).status, 200U);
    EXPECT_FALSE(port.reports.takesWork());
}

// A valid report with random changes to its bytes and its length must not crash the parser, and a
// report that is accepted must have all the fields of a valid one.
TEST(ForeignReports, NeverCrashTheParser)
{
    auto text = writeJson(heartbeatBody());
    EXPECT_TRUE(rc::check([&text] {
        auto damaged = damageText(text);
        damaged.resize(*rc::gen::inRange<std::size_t>(1, damaged.size() + 1));
        auto parsed = parseServerReport(heartbeat(damaged));
        if (const auto* report = std::get_if<server_report>(&parsed)) {
            RC_ASSERT(!report->service.empty());
            RC_ASSERT(!report->address.empty());
            RC_ASSERT(report->warmupLeft.count() >= 0);
        }
    }));
}

// The same for the operator's route configuration, which is accepted as a whole or not at all.
TEST(ForeignReports, NeverCrashTheParserOfRoutes)
{
    const std::string text = R"({"version":"r12","resources":[{"type":"routes","metadata":{"name":"x"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","timeout_s":0.8,"target_latency_s":1.2,"priority":2,"max_attempts":2,"traffic_split":[{"service":"old","weight":90},{"service":"new","weight":10}]}},{"type":"services","metadata":{"name":"old"},"spec":{"health_check_path":"/health","max_connections":934}},{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"idle_timeout_s":15}}]})";
    EXPECT_TRUE(rc::check([&text] {
        auto parsed = parseRouteDocument(damageText(text));
        if (const auto* configuration = std::get_if<route_configuration>(&parsed)) {
            for (const auto& route : configuration->routes) {
                RC_ASSERT(!route.destinations.empty());
                RC_ASSERT(route.timeout.count() > 0);
            }
        }
    }));
}

}
