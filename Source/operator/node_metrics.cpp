#include "operator/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace vanillashunt {

namespace {

    constexpr const char* importanceLabel = "importance";
    // For a request whose class is not known, so that it has no importance.
    constexpr std::size_t noImportance = importanceCount;
    constexpr std::size_t importanceLabels = importanceCount + 1;
    constexpr std::size_t executionCount = 3;
    constexpr unsigned firstServerError = 500;

    // In seconds, from a fast read to a deadline that has passed.
    const prometheus::Histogram::BucketBoundaries durationBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

    std::size_t importanceIndex(const request_context& context)
    {
        return context.requestClass.empty() ? noImportance : static_cast<std::size_t>(context.level);
    }

    std::string importanceText(std::size_t index)
    {
        return index == noImportance ? "none" : toString(static_cast<importance>(index));
    }

    // One metric for each importance, made at the start so that a rate has its zero.
    template <typename Metric>
    class by_importance {
    public:
        template <typename... Arguments>
        explicit by_importance(prometheus::Family<Metric>& family, const Arguments&... arguments)
        {
            for (std::size_t index = 0; index < importanceLabels; ++index) {
                m_metrics.at(index) = &family.Add({ { importanceLabel, importanceText(index) } }, arguments...);
            }
        }

        Metric& of(const request_context& context) { return *m_metrics.at(importanceIndex(context)); }

    private:
        std::array<Metric*, importanceLabels> m_metrics;
    };

    // The final answers of whole requests; each label set is made when it is first met.
    class request_counters {
    public:
        explicit request_counters(prometheus::Family<prometheus::Counter>& family)
            : m_family(family)
        {
        }

        prometheus::Counter& of(const request_context& context, const verdict& outcome)
        {
            auto level = importanceIndex(context);
            auto& found = m_counters.at(level).at(static_cast<std::size_t>(outcome.run)).at(static_cast<std::size_t>(outcome.reason));
            if (!found) {
                found = &m_family.Add({ { importanceLabel, importanceText(level) }, { "verdict", toString(outcome.run) }, { "reason", toString(outcome.reason) } });
            }
            return *found;
        }

    private:
        using by_reason = std::array<prometheus::Counter*, verdictReasonCount>;

        prometheus::Family<prometheus::Counter>& m_family;
        std::array<std::array<by_reason, executionCount>, importanceLabels> m_counters {};
    };

    void raiseTo(prometheus::Counter& counter, std::uint64_t total)
    {
        counter.Increment(static_cast<double>(total) - counter.Value());
    }

}

struct node_metrics::families {
    using counter = prometheus::Counter;
    using gauge = prometheus::Gauge;

    prometheus::Family<counter>& counters(const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    prometheus::Family<prometheus::Histogram>& histograms(const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

    counter& oneCounter(const char* name, const char* help) { return counters(name, help).Add({}); }

    gauge& oneGauge(const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    std::array<gauge*, bytePlaceCount> messageBytesByPlace()
    {
        auto& family = prometheus::BuildGauge().Name("vanillashunt_message_bytes").Help("Bytes that messages hold, by where they come from.").Register(registry);
        std::array<gauge*, bytePlaceCount> result {};
        for (std::size_t i = 0; i < bytePlaceCount; ++i) {
            result.at(i) = &family.Add({ { "place", toString(static_cast<byte_place>(i)) } });
        }
        return result;
    }

    std::array<counter*, byteRefusalCauseCount> messagesRefusedByCause()
    {
        auto& family = counters("vanillashunt_messages_refused_total", "Messages given up for want of room.");
        std::array<counter*, byteRefusalCauseCount> result {};
        for (std::size_t i = 0; i < byteRefusalCauseCount; ++i) {
            result.at(i) = &family.Add({ { "cause", toString(static_cast<byte_refusal_cause>(i)) } });
        }
        return result;
    }

    prometheus::Registry registry;
    request_counters requests { counters("vanillashunt_requests_total", "Final answers to whole requests, at the node where they entered.") };
    by_importance<counter> answered { counters("vanillashunt_requests_answered_total", "Whole requests that got a backend server's answer that is no server error: the goodput.") };
    by_importance<prometheus::Histogram> durations { histograms("vanillashunt_request_duration_seconds", "Time from a whole request's arrival to its final answer."), durationBuckets };
    by_importance<counter> attempts { counters("vanillashunt_attempts_total", "Attempts sent to a target's node, retries included.") };
    by_importance<counter> retries { counters("vanillashunt_retries_total", "Attempts after the first of their call.") };
    by_importance<counter> sheds { counters("vanillashunt_sheds_total", "Calls not admitted to the own backend server because of overload or share.") };
    gauge& gateLimit = oneGauge("vanillashunt_gate_limit_calls", "Calls that may run at the own backend server at once.");
    gauge& gateInFlight = oneGauge("vanillashunt_gate_in_flight_calls", "Calls that run at the own backend server.");
    gauge& gateWaiting = oneGauge("vanillashunt_gate_waiting_calls", "Calls that wait for the own backend server.");
    gauge& gateCut = oneGauge("vanillashunt_gate_cut", "Lowest shedding position that is admitted.");
    gauge& ledgerEntries = oneGauge("vanillashunt_ledger_entries", "Tickets that the home remembers.");
    gauge& inboundCalls = oneGauge("vanillashunt_inbound_calls", "Calls to the own backend server that are in progress.");
    gauge& outboundCalls = oneGauge("vanillashunt_outbound_calls", "Calls of callers and of the own backend server that are in progress.");
    gauge& clientConnections = oneGauge("vanillashunt_client_connections", "Open connections of clients.");
    gauge& pausedClientConnections = oneGauge("vanillashunt_client_connections_paused", "Connections of clients from which nothing is read until an answer is sent.");
    counter& clientConnectionsFilled = oneCounter("vanillashunt_client_connections_filled_total", "Times that a connection of a client became full.");
    counter& abandonedRequests = oneCounter("vanillashunt_client_requests_abandoned_total", "Requests that were unanswered when the connection of their client ended.");
    gauge& draining = oneGauge("vanillashunt_draining", "1 while the node takes no new work, else 0.");
    gauge& contractRevision = oneGauge("vanillashunt_contract_revision", "Store revision of the newest contract in force here.");
    gauge& configurationAge = oneGauge("vanillashunt_configuration_age_seconds", "Time since the platform's store confirmed the contracts or routes, to this node or to one that told it.");
    gauge& members = oneGauge("vanillashunt_members", "Members that this node knows.");
    gauge& poisonContents = oneGauge("vanillashunt_poison_contents", "Contents of requests that reach no server, since servers have ended under them.");
    gauge& started = oneGauge("process_start_time_seconds", "Start time of the process, in seconds since 1970-01-01 UTC.");
    counter& crossedAnswers = oneCounter("vanillashunt_peer_answers_crossed_total", "Answers of peers that were for another call, and were dropped.");
    counter& damagedAnswers = oneCounter("vanillashunt_peer_answers_damaged_total", "Answers of peers that could not be read, and were dropped.");
    counter& damagedFrames = oneCounter("vanillashunt_peer_frames_damaged_total", "Connections of peers closed because of bytes that were no frame.");
    counter& refusedReports = oneCounter("vanillashunt_server_reports_refused_total", "Reports to the backend port that no server wrote.");
    gauge& serverSlowdown = oneGauge("vanillashunt_server_slowdown", "How much longer than usually work takes at the own backend server now.");
    counter& contradictedLoads = oneCounter("vanillashunt_server_loads_contradicted_total", "Loads told by the own backend server that contradict what the node knows.");
    counter& unreadableLoads = oneCounter("vanillashunt_server_loads_unreadable_total", "Loads told by the own backend server that cannot be read.");
    gauge& serverRateLimit = oneGauge("vanillashunt_server_rate_limit", "Requests per second that the own backend server accepts from all nodes together; +Inf if it names no limit.");
    counter& serverRequests = oneCounter("vanillashunt_server_requests_total", "Requests sent to the own backend server.");
    counter& unreadableNotices = oneCounter("vanillashunt_server_notices_unreadable_total", "Answers of the own backend server with an announcement that cannot be read.");
    counter& storeReturns = oneCounter("vanillashunt_store_returns_total", "Returns of the platform's store from an earlier copy.");
    counter& quotaAsks = oneCounter("vanillashunt_quota_asks_total", "Asks for requests of organisations, to the pool of the zone.");
    counter& quotaUnanswered = oneCounter("vanillashunt_quota_unanswered_total", "Messages on quotas that were not answered in time.");
    gauge& quotaWaiting = oneGauge("vanillashunt_quota_waiting_requests", "Requests that wait for their organisation's limit.");
    gauge& messageBudgetBytes = oneGauge("vanillashunt_message_budget_bytes", "Bytes that all messages together may hold.");
    std::array<gauge*, bytePlaceCount> messageBytes = messageBytesByPlace();
    gauge& messagesWaiting = oneGauge("vanillashunt_messages_waiting", "Messages that are not received further until there is room for them.");
    counter& messageWaits = oneCounter("vanillashunt_message_waits_total", "Times that a message waited for room.");
    std::array<counter*, byteRefusalCauseCount> messagesRefused = messagesRefusedByCause();
    counter& oversizedAnswers = oneCounter("vanillashunt_server_answers_cut_off_total", "Answers of the own backend server cut off because of their size.");
    counter& connectsFailed = oneCounter("vanillashunt_peer_connects_failed_total", "Connections to peers that could not be opened.");
};

node_gauges readGauges(const Json::Value& calls)
{
    const auto& inbound = calls["inbound"];
    node_gauges gauges;
    gauges.gateLimit = inbound["limit"].asUInt64();
    gauges.gateInFlight = inbound["running"].asUInt64();
    gauges.gateWaiting = inbound["waiting"].asUInt64();
    gauges.gateCut = inbound["cut"].asUInt64();
    gauges.ledgerEntries = inbound["ledger_entries"].asUInt64();
    gauges.inboundCalls = inbound["in_progress"].asUInt64();
    gauges.outboundCalls = calls["outbound"]["in_progress"].asUInt64();
    gauges.draining = inbound["draining"].asBool();
    return gauges;
}

node_metrics::node_metrics(std::chrono::system_clock::time_point started)
    : m_families(std::make_unique<families>())
{
    m_families->started.Set(std::chrono::duration<double>(started.time_since_epoch()).count());
}

node_metrics::~node_metrics() = default;

void node_metrics::observe(const call_observation& seen)
{
    auto& all = *m_families;
    switch (seen.decision) {
    case call_decision::Retry:
        all.retries.of(seen.context).Increment();
        [[fallthrough]];
    case call_decision::Attempt:
        all.attempts.of(seen.context).Increment();
        return;
    case call_decision::Rejected:
        if (isShed(seen.outcome.reason)) {
            all.sheds.of(seen.context).Increment();
        }
        return;
    case call_decision::AttemptFailed:
        return;
    case call_decision::Finished:
        break;
    }
    if (!seen.isEntryRequest) {
        return;
    }
    all.requests.of(seen.context, seen.outcome).Increment();
    all.durations.of(seen.context).Observe(std::chrono::duration<double>(seen.duration).count());
    if (seen.outcome.reason == verdict_reason::Answered && seen.status < firstServerError) {
        all.answered.of(seen.context).Increment();
    }
}

void node_metrics::set(const node_gauges& gauges)
{
    auto& all = *m_families;
    all.gateLimit.Set(static_cast<double>(gauges.gateLimit));
    all.gateInFlight.Set(static_cast<double>(gauges.gateInFlight));
    all.gateWaiting.Set(static_cast<double>(gauges.gateWaiting));
    all.gateCut.Set(static_cast<double>(gauges.gateCut));
    all.ledgerEntries.Set(static_cast<double>(gauges.ledgerEntries));
    all.inboundCalls.Set(static_cast<double>(gauges.inboundCalls));
    all.outboundCalls.Set(static_cast<double>(gauges.outboundCalls));
    all.clientConnections.Set(static_cast<double>(gauges.clientConnections));
    all.pausedClientConnections.Set(static_cast<double>(gauges.pausedClientConnections));
    raiseTo(all.clientConnectionsFilled, gauges.clientConnectionsFilled);
    raiseTo(all.abandonedRequests, gauges.abandonedRequests);
    all.draining.Set(gauges.draining ? 1 : 0);
    all.contractRevision.Set(static_cast<double>(gauges.contractRevision));
    all.configurationAge.Set(gauges.configurationAge);
    all.members.Set(static_cast<double>(gauges.members));
    all.poisonContents.Set(static_cast<double>(gauges.poisonContents));
    raiseTo(all.crossedAnswers, gauges.crossedAnswers);
    raiseTo(all.damagedAnswers, gauges.damagedAnswers);
    raiseTo(all.damagedFrames, gauges.damagedFrames);
    raiseTo(all.connectsFailed, gauges.connectsFailed);
    raiseTo(all.refusedReports, gauges.refusedReports);
    all.serverSlowdown.Set(gauges.serverSlowdown);
    raiseTo(all.contradictedLoads, gauges.contradictedLoads);
    raiseTo(all.unreadableLoads, gauges.unreadableLoads);
    all.serverRateLimit.Set(gauges.serverRateLimit);
    raiseTo(all.serverRequests, gauges.serverRequests);
    raiseTo(all.unreadableNotices, gauges.unreadableNotices);
    raiseTo(all.storeReturns, gauges.storeReturns);
    raiseTo(all.quotaAsks, gauges.quotaAsks);
    raiseTo(all.quotaUnanswered, gauges.quotaUnanswered);
    all.quotaWaiting.Set(static_cast<double>(gauges.quotaWaiting));
    all.messageBudgetBytes.Set(static_cast<double>(gauges.messageBudgetBytes));
    for (std::size_t i = 0; i < bytePlaceCount; ++i) {
        all.messageBytes.at(i)->Set(static_cast<double>(gauges.messageBytes.at(i)));
    }
    all.messagesWaiting.Set(static_cast<double>(gauges.messagesWaiting));
    raiseTo(all.messageWaits, gauges.messageWaits);
    for (std::size_t i = 0; i < byteRefusalCauseCount; ++i) {
        raiseTo(*all.messagesRefused.at(i), gauges.messagesRefused.at(i));
    }
    raiseTo(all.oversizedAnswers, gauges.oversizedAnswers);
}

std::string node_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

}
