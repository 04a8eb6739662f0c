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

    bool namesAServer(const std::string& body)
    {
        return std::holds_alternative<server_report>(parseServerReport(heartbeat(body)));
    }

    std::string with(const std::string& name, const Json::Value& value)
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

    // Values of which none is right in any field but the time of the start, which is a
    // whole number: the first of them is left out there.
    std::vector<Json::Value> foreignValues()
    {
        Json::Value object;
        object["ready"] = true;
        return { Json::Value(Json::nullValue), Json::Value(true), Json::Value(-1), Json::Value(Json::Int64(-9223372036854775807LL)), Json::Value(1e300), Json::Value(-0.5), Json::Value(""), nested(5), object };
    }

    // Some of the bytes changed at random; to be called within a property.
    std::string damage(std::string text)
    {
        auto changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes; ++change) {
            auto place = *rc::gen::inRange<std::size_t>(0, text.size());
            text[place] = *rc::gen::arbitrary<char>();
        }
        return text;
    }

    // A port that takes reports beside a node whose configuration has one service.
    struct report_port {
        server_reports reports { { [](const std::string& service) { return service == "threads"; }, [] {}, [] { return std::chrono::system_clock::now(); }, [] { return 1U; } } };
        std::chrono::steady_clock::time_point now { std::chrono::seconds(100) };

        unsigned take(const std::string& body) { return reports.take(heartbeat(body), now).status; }
    };

}

TEST(ForeignReports, AServersOwnReportIsTaken)
{
    auto parsed = parseServerReport(heartbeat(writeJson(heartbeatBody())));
    ASSERT_TRUE(std::holds_alternative<server_report>(parsed));
    const auto& report = std::get<server_report>(parsed);
    ASSERT_TRUE(report.start.born);
    EXPECT_EQ(report.start.born->time_since_epoch(), std::chrono::milliseconds(born));
}

TEST(ForeignReports, NameNoServerWhereAFieldIsMissing)
{
    for (const auto& name : heartbeatBody().getMemberNames()) {
        SCOPED_TRACE(name);
        auto body = heartbeatBody();
        body.removeMember(name);
        // Without the time of its start a report may still be a server's.
        EXPECT_EQ(namesAServer(writeJson(body)), name == "born");
    }
}

TEST(ForeignReports, NameNoServerWhereAFieldHasAnotherTypeOrRange)
{
    for (const auto& name : heartbeatBody().getMemberNames()) {
        for (const auto& value : foreignValues()) {
            SCOPED_TRACE(name + ": " + writeJson(value));
            EXPECT_FALSE(namesAServer(with(name, value)));
        }
    }
    EXPECT_FALSE(namesAServer(with("state", "gone")));
    EXPECT_FALSE(namesAServer(with("capacity", "42")));
    EXPECT_FALSE(namesAServer(with("capacity", 4.5)));
    EXPECT_FALSE(namesAServer(with("capacity", Json::UInt64(1) << 40)));
    EXPECT_FALSE(namesAServer(with("capacity", 0)));
    EXPECT_FALSE(namesAServer(with("born", "1800000000123")));
    EXPECT_FALSE(namesAServer(with("born", 1800000000123.5)));
}

// What it could run makes no difference then, and not to heed it would.
TEST(ForeignReports, OfAServerThatLeavesIsTakenWithoutSlots)
{
    auto body = heartbeatBody();
    body["state"] = "draining";
    body["capacity"] = 0;
    EXPECT_TRUE(namesAServer(writeJson(body)));
}

TEST(ForeignReports, NameNoServerWhereTheBytesCannotBeRead)
{
    auto text = writeJson(heartbeatBody());
    for (std::size_t length = 0; length < text.size(); ++length) {
        EXPECT_FALSE(namesAServer(text.substr(0, length)));
    }
    EXPECT_FALSE(namesAServer(text + "}"));
    EXPECT_FALSE(namesAServer("[" + text + "]"));
    EXPECT_FALSE(namesAServer(R"({"service":NaN})"));
    EXPECT_FALSE(namesAServer(writeJson(nested(60))));
    EXPECT_FALSE(namesAServer(std::string(100000, '[')));
}

TEST(ForeignReports, ChangeNothingThatIsKnown)
{
    report_port port;
    EXPECT_EQ(port.take(writeJson(heartbeatBody())), 200U);
    for (const auto& body : { with("state", "gone"), with("service", "elsewhere"), with("capacity", "many"), std::string("\xff\xfe{") }) {
        EXPECT_EQ(port.take(body), 400U);
        EXPECT_TRUE(port.reports.takesWork());
        EXPECT_EQ(port.reports.current()->slots, 42U);
    }
    auto withoutStart = heartbeatBody();
    withoutStart.removeMember("born");
    withoutStart["state"] = "draining";
    EXPECT_EQ(port.take(writeJson(withoutStart)), 400U);
    EXPECT_TRUE(port.reports.takesWork());
    EXPECT_EQ(port.reports.refused(), 5U);
}

TEST(ForeignReports, OfADeregistrationChangeNothing)
{
    report_port port;
    port.take(writeJson(heartbeatBody()));
    for (const std::string body : { "{", "[]", R"({"born":"then"})", R"({"born":-1})" }) {
        EXPECT_EQ(port.reports.take({ "POST", "/Instances.Deregister/i-1", {}, body }, port.now).status, 400U);
        EXPECT_TRUE(port.reports.takesWork());
    }
    EXPECT_EQ(port.reports.take({ "POST", "/Instances.Deregister/i-1", {}, R"({"born":)" + std::to_string(born - 1) + "}" }, port.now).status, 200U);
    EXPECT_TRUE(port.reports.takesWork());
    EXPECT_EQ(port.reports.take({ "POST", "/Instances.Deregister/i-1", {}, R"({"born":)" + std::to_string(born) + "}" }, port.now).status, 200U);
    EXPECT_FALSE(port.reports.takesWork());
}

// Bytes of a real report changed, cut or repeated at random: never a crash, and whatever
// is read as a server's has all that a server's report has.
TEST(ForeignReports, NeverBringDownTheReader)
{
    auto text = writeJson(heartbeatBody());
    EXPECT_TRUE(rc::check([&text] {
        auto damaged = damage(text);
        damaged.resize(*rc::gen::inRange<std::size_t>(1, damaged.size() + 1));
        auto parsed = parseServerReport(heartbeat(damaged));
        if (const auto* report = std::get_if<server_report>(&parsed)) {
            RC_ASSERT(!report->service.empty());
            RC_ASSERT(!report->address.empty());
            RC_ASSERT(report->warmupLeft.count() >= 0);
        }
    }));
}

// The same with the operator's configuration, of which all or nothing is taken.
TEST(ForeignReports, NeverBringDownTheReaderOfRoutes)
{
    const std::string text = R"({"version":"r12","resources":[{"type":"routes","metadata":{"name":"x"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent","timeout_s":0.8,"target_latency_s":1.2,"priority":2,"max_attempts":2,"traffic_split":[{"service":"old","weight":90},{"service":"new","weight":10}]}},{"type":"services","metadata":{"name":"old"},"spec":{"health_check_path":"/health","max_connections":934}},{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"idle_timeout_s":15}}]})";
    EXPECT_TRUE(rc::check([&text] {
        auto parsed = parseRouteDocument(damage(text));
        if (const auto* configuration = std::get_if<route_configuration>(&parsed)) {
            for (const auto& each : configuration->routes) {
                RC_ASSERT(!each.destinations.empty());
                RC_ASSERT(each.timeout.count() > 0);
            }
        }
    }));
}

}
