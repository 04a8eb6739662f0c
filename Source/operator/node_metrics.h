#pragma once

#include "budget/byte_budget.h"
#include "call/call_observation.h"

#include <json/value.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace vanillashunt {

// What a node reads off its parts when its metrics are asked for.
struct node_gauges {
    std::uint64_t gateLimit = 0;
    std::uint64_t gateInFlight = 0;
    std::uint64_t gateWaiting = 0;
    std::uint64_t gateCut = 0;
    std::uint64_t ledgerEntries = 0;
    std::uint64_t inboundCalls = 0;
    std::uint64_t outboundCalls = 0;
    std::uint64_t clientConnections = 0;
    // Client connections from which nothing is read before an answer has been sent.
    std::uint64_t pausedClientConnections = 0;
    bool draining = false;
    std::int64_t contractRevision = 0;
    std::uint64_t members = 0;
    // Age of what is known of the contracts or routes, in seconds; infinite if the store never confirmed it.
    double configurationAge = std::numeric_limits<double>::infinity();
    // Contents of requests that reach no server, since servers have ended under them.
    std::uint64_t poisonContents = 0;
    // Requests that wait for their organisation's limit.
    std::uint64_t quotaWaiting = 0;
    // How much longer than usually work takes at the own backend server now.
    double serverSlowdown = 1;
    // Requests per second that the own backend server accepts; infinite if it names no limit.
    double serverRateLimit = std::numeric_limits<double>::infinity();
    // Bytes that messages may hold, those that they hold by place, and messages that wait for room.
    std::uint64_t messageBudgetBytes = 0;
    std::array<std::uint64_t, bytePlaceCount> messageBytes {};
    std::uint64_t messagesWaiting = 0;
    // Totals since the start of the process.
    std::uint64_t messageWaits = 0;
    std::array<std::uint64_t, byteRefusalCauseCount> messagesRefused {};
    // Answers of the own backend server that were cut off because of their size.
    std::uint64_t oversizedAnswers = 0;
    std::uint64_t crossedAnswers = 0;
    std::uint64_t damagedAnswers = 0;
    std::uint64_t damagedFrames = 0;
    std::uint64_t connectsFailed = 0;
    // Client connections that became full.
    std::uint64_t clientConnectionsFilled = 0;
    // Requests that were unanswered when the connection of their client ended.
    std::uint64_t abandonedRequests = 0;
    std::uint64_t refusedReports = 0;
    std::uint64_t contradictedLoads = 0;
    std::uint64_t unreadableLoads = 0;
    std::uint64_t unreadableNotices = 0;
    // Requests sent to the own backend server.
    std::uint64_t serverRequests = 0;
    std::uint64_t storeReturns = 0;
    std::uint64_t quotaAsks = 0;
    std::uint64_t quotaUnanswered = 0;
};

// Reads the gauges that the call actor's part of the dump holds.
node_gauges readGauges(const Json::Value& calls);

// The metrics of one node; docs/METRICS.md tells of each.
class node_metrics {
public:
    // The time when the process started.
    explicit node_metrics(std::chrono::system_clock::time_point started);
    ~node_metrics();

    void observe(const call_observation&);

    void set(const node_gauges&);

    // Writes all of them in the text format of Prometheus.
    std::string text() const;

private:
    struct families;

    std::unique_ptr<families> m_families;
};

}
