#include "platform/request_headers.h"
#include "platform/route_document.h"
#include "platform/server_report.h"

#include <gtest/gtest.h>

#include <random>

namespace vanillashunt {

namespace {

    const std::string document = R"({"version":"r12","resources":[
        {"type":"routes","metadata":{"name":"split"},"spec":{"host":"a.example","prefix":"/x/","kind":"idempotent",
            "timeout_s":0.8,"target_latency_s":1.2,"priority":2,"max_attempts":2,
            "traffic_split":[{"service":"old","weight":90},{"service":"new","weight":10}]}},
        {"type":"routes","metadata":{"name":"orders"},"spec":{"host":"b.example","prefix":"/y/","kind":"non_idempotent",
            "timeout_s":5,"target_latency_s":1.5,"priority":0,"service":"old","max_attempts":2}},
        {"type":"services","metadata":{"name":"old"},"spec":{"health_check_path":"/health","max_connections":934}},
        {"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]})";

    // The document with further entries.
    std::string documentWith(const std::string& entries)
    {
        return document.substr(0, document.size() - 2) + "," + entries + "]}";
    }

    bool isReadable(const std::string& text)
    {
        return std::holds_alternative<route_configuration>(parseRouteDocument(text));
    }

    http_request heartbeat(const std::string& body)
    {
        return { "POST", "/Instances.Heartbeat/i-1", {}, body };
    }

}

TEST(RouteDocument, IsReadWithItsUnits)
{
    auto parsed = parseRouteDocument(document);
    ASSERT_TRUE(std::holds_alternative<route_configuration>(parsed));
    const auto& configuration = std::get<route_configuration>(parsed);
    EXPECT_EQ(configuration.version, 12);
    ASSERT_EQ(configuration.routes.size(), 2U);
    const auto& split = configuration.routes[0];
    EXPECT_TRUE(split.idempotent);
    EXPECT_EQ(split.timeout, std::chrono::milliseconds(800));
    ASSERT_EQ(split.destinations.size(), 2U);
    EXPECT_EQ(split.destinations[1].weight, 10);
    EXPECT_FALSE(configuration.routes[1].idempotent);
    EXPECT_EQ(configuration.limits.headerTimeout, std::chrono::seconds(3));
    EXPECT_EQ(configuration.services.at(0).maxConnections, 934U);
}

// No half of a version is in force.
TEST(RouteDocument, IsRefusedAsAWhole)
{
    EXPECT_FALSE(isReadable(""));
    EXPECT_FALSE(isReadable("[]"));
    EXPECT_FALSE(isReadable(R"({"version":12,"resources":[]})"));
    EXPECT_FALSE(isReadable(R"({"version":"r","resources":[]})"));
    EXPECT_FALSE(isReadable(R"({"version":"r1","resources":[{"type":"routes","metadata":{"name":"x"},"spec":{"prefix":"/x/","timeout_s":1}}]})"));
    EXPECT_FALSE(isReadable(R"({"version":"r1","resources":[{"type":"routes","metadata":{"name":"x"},"spec":{"prefix":"/x/","timeout_s":"soon","service":"a"}}]})"));
}

TEST(RouteDocument, TellsTheOrganisations)
{
    auto parsed = parseRouteDocument(documentWith(R"({"type":"tenants","metadata":{"name":"pulo"},"spec":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":16.5,"burst":20,"later":"unknown"}},
        {"type":"tenants","metadata":{"name":"free"},"spec":{"api_keys":["k3"]}},
        {"type":"tenants","metadata":{"name":"closed"},"spec":{"api_keys":[]}})"));
    ASSERT_TRUE(std::holds_alternative<route_configuration>(parsed));
    const auto& configuration = std::get<route_configuration>(parsed);
    EXPECT_TRUE(configuration.requiresKeys);
    ASSERT_EQ(configuration.organisations.size(), 3U);
    const auto& first = configuration.organisations[0];
    EXPECT_EQ(first.name, "pulo");
    EXPECT_EQ(first.keys, (std::vector<std::string> { "k1", "k2" }));
    EXPECT_EQ(first.priority, 1U);
    EXPECT_EQ(first.quota.ratePerSecond, 16.5);
    EXPECT_EQ(first.quota.burst, 20);
    EXPECT_FALSE(configuration.organisations[1].priority);
    EXPECT_FALSE(configuration.organisations[1].quota.isLimited());
    EXPECT_FALSE(std::get<route_configuration>(parseRouteDocument(document)).requiresKeys);
}

// Who asks, and how much may be asked, is never guessed; and no message tells a key.
TEST(RouteDocument, IsRefusedWithOrganisationsThatCannotBeToldApart)
{
    const std::vector<std::string> wrong {
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["secret"]}},{"type":"tenants","metadata":{"name":"b"},"spec":{"api_keys":["other","secret"]}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["secret"]}},{"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["other"]}})",
        R"({"type":"tenants","metadata":{},"spec":{"api_keys":["secret"]}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":[17]}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":[""]}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":"secret"}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":{"secret":1}}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["secret"],"rate_per_s":-1}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["secret"],"rate_per_s":1e300}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["secret"],"rate_per_s":"many"}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["secret"],"burst":-0.5}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":{"api_keys":["secret"],"priority":-1}})",
        R"({"type":"tenants","metadata":{"name":"a"},"spec":"secret"})",
    };
    for (const auto& organisations : wrong) {
        auto parsed = parseRouteDocument(documentWith(organisations));
        const auto* problem = std::get_if<route_document_problem>(&parsed);
        ASSERT_TRUE(problem) << organisations;
        EXPECT_EQ(problem->message.find("secret"), std::string::npos) << problem->message;
        EXPECT_FALSE(problem->message.empty());
    }
}

TEST(RouteDocument, SurvivesDamage)
{
    std::mt19937 random(7);
    for (int i = 0; i < 2000; ++i) {
        auto damaged = document;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        damaged.resize(random() % 4 == 0 ? random() % damaged.size() : damaged.size());
        parseRouteDocument(damaged);
    }
}

TEST(ServerReport, IsReadFromHeartbeatAndDeregistration)
{
    auto parsed = parseServerReport(heartbeat(R"({"service":"a","address":"192.0.2.1:80","zone":"z","version":"v1","capacity":53,"state":"draining","warmup_left_s":1.5,"sequence":4})"));
    ASSERT_TRUE(std::holds_alternative<server_report>(parsed));
    const auto& report = std::get<server_report>(parsed);
    EXPECT_EQ(report.start.instanceId, "i-1");
    EXPECT_FALSE(report.start.born);
    EXPECT_EQ(report.condition, server_condition::Draining);
    EXPECT_EQ(report.slots, 53U);
    EXPECT_EQ(report.warmupLeft, std::chrono::milliseconds(1500));
    auto left = parseServerReport({ "POST", "/Instances.Deregister/i-1", {}, "" });
    ASSERT_TRUE(std::holds_alternative<server_report>(left));
    EXPECT_EQ(std::get<server_report>(left).condition, server_condition::Left);
}

TEST(ServerReport, OfAnotherShapeIsRefused)
{
    EXPECT_TRUE(std::holds_alternative<server_report_problem>(parseServerReport(heartbeat("no JSON"))));
    EXPECT_TRUE(std::holds_alternative<server_report_problem>(parseServerReport(heartbeat(R"({"capacity":"many"})"))));
    EXPECT_TRUE(std::holds_alternative<server_report_problem>(parseServerReport({ "POST", "/other", {}, "{}" })));
    EXPECT_TRUE(std::holds_alternative<server_report_problem>(parseServerReport({ "POST", "/Instances.Heartbeat/", {}, "{}" })));
}

// What a client sends in the place of the node's own headers never reaches the server.
TEST(RequestHeaders, ReplaceWhatTheClientSent)
{
    http_fields fields { { "vanillashunt-caller-service", "forged" }, { "Vanillashunt-Expect-Instance", "i-9" }, { "Vanillashunt-Deadline-Ms", "99999" }, { "Host", "a.example" } };
    writeServerTerms(fields, { std::chrono::milliseconds(700), "i-1", "threads", "" });
    EXPECT_EQ(fields.size(), 4U);
    EXPECT_EQ(fieldValue(fields, "Vanillashunt-Caller-Service"), "threads");
    EXPECT_EQ(fieldValue(fields, "Vanillashunt-Expect-Instance"), "i-1");
    EXPECT_EQ(fieldValue(fields, "Vanillashunt-Deadline-Ms"), "700");
}

TEST(RequestHeaders, TellOfOneKeyOrOfSeveral)
{
    EXPECT_FALSE(readRequestTerms({}).key);
    auto one = readRequestTerms({ { "aPI-kEY", "k1" } });
    EXPECT_EQ(one.key, "k1");
    EXPECT_FALSE(one.hasSeveralKeys);
    EXPECT_TRUE(readRequestTerms({ { "Api-Key", "k1" }, { "X", "y" }, { "api-key", "k1" } }).hasSeveralKeys);
    EXPECT_TRUE(readRequestTerms({ { "Api-Key", "k1" }, { "api-key", "k2" }, { "API-KEY", "k3" } }).hasSeveralKeys);
}

TEST(RequestHeaders, TellAServerTheOrganisationAndNoKey)
{
    http_fields fields { { "api-key", "k1" }, { "vanillashunt-tenant", "forged" }, { "Host", "a.example" } };
    auto forwarded = fields;
    removeClientTerms(forwarded);
    EXPECT_EQ(forwarded.size(), 1U);
    writeServerTerms(fields, { std::chrono::milliseconds(700), "i-1", "threads", "pulo" });
    EXPECT_EQ(fieldValue(fields, "Api-Key"), "");
    EXPECT_EQ(fieldValue(fields, "Vanillashunt-Tenant"), "pulo");
    EXPECT_EQ(fields.size(), 5U);
    http_fields ofNobody { { "Vanillashunt-Tenant", "forged" } };
    writeServerTerms(ofNobody, { std::chrono::milliseconds(700), "i-1", "threads", "" });
    EXPECT_EQ(ofNobody.size(), 3U);
}

TEST(RequestHeaders, ReadADeadlineOnlyFromANumber)
{
    EXPECT_EQ(readRequestTerms({ { "Vanillashunt-Deadline-Ms", "1500" } }).remaining, std::chrono::milliseconds(1500));
    EXPECT_EQ(readRequestTerms({ { "Vanillashunt-Deadline-Ms", "1500.7" } }).remaining, std::chrono::milliseconds(1500));
    EXPECT_FALSE(readRequestTerms({ { "Vanillashunt-Deadline-Ms", "soon" } }).remaining);
    EXPECT_FALSE(readRequestTerms({}).remaining);
}

// Guards against a limit that is misread: any text that is no single decimal number names none.
TEST(AnswerHeaders, TellTheRateLimitOfTheServer)
{
    auto limitIn = [](const http_fields& fields) { return readAnswerMarks(fields); };
    EXPECT_EQ(limitIn({ { "server-limit", "7.1" } }).notice.rateLimit, 7.1);
    EXPECT_EQ(limitIn({ { "Server-Limit", "0" } }).notice.rateLimit, 0);
    EXPECT_EQ(limitIn({ { "Server-Limit", "0.0001" } }).notice.rateLimit, 0.0001);
    EXPECT_FALSE(limitIn({}).notice.rateLimit);
    EXPECT_FALSE(limitIn({}).isRateLimitUnreadable);
    for (const std::string text : { "", "few", "-1", "-0", "1e3", "7.1/s", " 7", "7,1", "inf", "nan", "0x10", "+3" }) {
        auto marks = limitIn({ { "Server-Limit", text } });
        EXPECT_FALSE(marks.notice.rateLimit) << text;
        EXPECT_TRUE(marks.isRateLimitUnreadable) << text;
    }
    auto twice = limitIn({ { "Server-Limit", "7" }, { "Server-Limit", "8" } });
    EXPECT_FALSE(twice.notice.rateLimit);
    EXPECT_TRUE(twice.isRateLimitUnreadable);
}

// Guards against missing that a server leaves, and against taking an unknown word for it.
TEST(AnswerHeaders, TellThatTheServerLeaves)
{
    EXPECT_TRUE(readAnswerMarks({ { "server-leaving", "1" } }).notice.isLeaving);
    EXPECT_FALSE(readAnswerMarks({ { "Server-Leaving", "0" } }).notice.isLeaving);
    EXPECT_FALSE(readAnswerMarks({ { "Server-Leaving", "0" } }).isLeavingUnreadable);
    auto unknown = readAnswerMarks({ { "Server-Leaving", "soon" }, { "Server-Limit", "3" } });
    EXPECT_FALSE(unknown.notice.isLeaving);
    EXPECT_TRUE(unknown.isLeavingUnreadable);
    EXPECT_EQ(unknown.notice.rateLimit, 3);
}

TEST(RequestHeaders, WriteRetryAfterInSecondsWithFractions)
{
    EXPECT_EQ(retryAfterField(std::chrono::milliseconds(350)).value, "0.350");
}

}
