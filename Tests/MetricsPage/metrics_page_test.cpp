#include "operator/node_metrics.h"
#include "operator/request_journal.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>

namespace vanillashunt {

namespace {

    using names_and_types = std::map<std::string, std::string>;

    names_and_types onThePage()
    {
        names_and_types found;
        std::ifstream file(METRICS_PAGE);
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            std::string bar;
            std::string name;
            std::string type;
            words >> bar >> name >> bar >> type;
            if (line.rfind("| `", 0) == 0 && name.front() == '`') {
                found[name.substr(1, name.size() - 2)] = type;
            }
        }
        return found;
    }

    names_and_types inTheText(const std::string& text)
    {
        names_and_types found;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            std::string hash;
            std::string keyword;
            std::string name;
            std::string type;
            words >> hash >> keyword >> name >> type;
            if (keyword == "TYPE") {
                found[name] = type;
            }
        }
        return found;
    }

    call_observation finished(const request_context& context, const verdict& outcome, std::uint32_t status)
    {
        call_observation seen { call_decision::Finished, context, {} };
        seen.outcome = outcome;
        seen.isEntryRequest = true;
        seen.status = status;
        seen.duration = std::chrono::milliseconds(30);
        return seen;
    }

    bool hasLine(const std::string& text, const std::string& line)
    {
        return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
    }

}

TEST(MetricsPage, HasEveryMetricAndNoOther)
{
    node_metrics metrics({});
    metrics.observe(finished({}, verdict::notRun(verdict_reason::UnknownOrganisation), 0));
    EXPECT_EQ(inTheText(metrics.text()), onThePage());
}

TEST(NodeMetrics, CountWhatWasObserved)
{
    node_metrics metrics({});
    request_context context;
    context.requestClass = "desk-reply";
    context.level = importance::Confirmed;
    metrics.observe(finished(context, verdict::answered(), 200));
    metrics.observe(finished(context, verdict::answered(), 500));
    metrics.observe(finished(context, verdict::notRun(verdict_reason::Overload), 0));
    metrics.observe({ call_decision::Attempt, context, {} });
    metrics.observe({ call_decision::Retry, context, {} });
    metrics.observe({ call_decision::Rejected, context, {}, verdict::notRun(verdict_reason::OverShare) });
    metrics.observe({ call_decision::Rejected, context, {}, verdict::notRun(verdict_reason::Draining) });
    auto text = metrics.text();
    EXPECT_TRUE(hasLine(text, R"(vanillashunt_requests_total{importance="confirmed",reason="answered",verdict="ran"} 2)")) << text;
    EXPECT_TRUE(hasLine(text, R"(vanillashunt_requests_total{importance="confirmed",reason="overload",verdict="not_run"} 1)")) << text;
    EXPECT_TRUE(hasLine(text, R"(vanillashunt_requests_answered_total{importance="confirmed"} 1)")) << text;
    EXPECT_TRUE(hasLine(text, R"(vanillashunt_request_duration_seconds_count{importance="confirmed"} 3)")) << text;
    EXPECT_TRUE(hasLine(text, R"(vanillashunt_attempts_total{importance="confirmed"} 2)")) << text;
    EXPECT_TRUE(hasLine(text, R"(vanillashunt_retries_total{importance="confirmed"} 1)")) << text;
    EXPECT_TRUE(hasLine(text, R"(vanillashunt_sheds_total{importance="confirmed"} 1)")) << text;
}

TEST(NodeMetrics, OnwardCallsAreNoWholeRequests)
{
    node_metrics metrics({});
    auto onward = finished({}, verdict::answered(), 200);
    onward.isEntryRequest = false;
    metrics.observe(onward);
    EXPECT_EQ(metrics.text().find("vanillashunt_requests_total{"), std::string::npos);
}

TEST(RequestJournal, RemembersTheLatestDecisionsInTheirOrder)
{
    request_journal journal(3);
    for (const std::string id : { "a", "b", "a", "a", "b" }) {
        request_context context;
        context.requestId = id;
        journal.record({ call_decision::Attempt, context, {}, {}, std::to_string(journal.find("a").size()) });
    }
    EXPECT_EQ(journal.size(), 3U);
    auto found = journal.find("a");
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].detail, "1") << "the first of three was forgotten";
    EXPECT_EQ(found[1].detail, "2");
    EXPECT_EQ(journal.find("b").size(), 1U);
    EXPECT_TRUE(journal.find("c").empty());
}

}
