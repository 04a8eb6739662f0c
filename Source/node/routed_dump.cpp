#include "node/routed_dump.h"

#include "events/event_catalogue.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Limits the length of the log line about a terminated backend server.
    constexpr std::size_t maxLoggedContents = 64;

}

Json::Value dumpCalls(const routed_parts& parts)
{
    const auto& target = parts.calls.target();
    Json::Value calls;
    auto& inbound = calls["inbound"];
    inbound["in_progress"] = Json::UInt64(target.inProgress());
    inbound["running"] = target.gate().inFlight();
    inbound["waiting"] = Json::UInt64(target.gate().waiting());
    inbound["limit"] = target.gate().limit();
    inbound["cut"] = target.gate().cut();
    inbound["draining"] = parts.draining;
    auto now = std::chrono::steady_clock::now();
    inbound["slowdown"] = target.pace().slowdown(now);
    inbound["loads_contradicted"] = Json::UInt64(target.pace().contradictions());
    inbound["loads_unreadable"] = Json::UInt64(parts.unreadableLoads);
    auto notice = target.notice();
    inbound["rate_limit"] = notice.rateLimit ? Json::Value(*notice.rateLimit) : Json::Value();
    inbound["server_leaves"] = notice.isLeaving;
    inbound["notices_unreadable"] = Json::UInt64(parts.unreadableNotices);
    calls["outbound"]["in_progress"] = Json::UInt64(parts.calls.entry().inProgress());
    calls["server"]["connections_opened"] = Json::UInt64(parts.calls.serverCounts().connectionsOpened);
    calls["server"]["answers_cut_off"] = Json::UInt64(parts.calls.serverCounts().oversizedAnswers);
    calls["server"]["unverified"] = parts.server.isUnverified();
    calls["server"]["reports_refused"] = Json::UInt64(parts.server.refused());
    calls["server"]["foreign_answers"] = Json::UInt64(parts.calls.serverCounts().foreignAnswers);
    auto& clients = calls["clients"];
    clients["connections"] = Json::UInt64(parts.clients.connections());
    clients["paused"] = Json::UInt64(parts.clients.pausedConnections());
    clients["read_ahead_bytes"] = Json::UInt64(parts.clients.readAheadBytes());
    clients["filled"] = Json::UInt64(parts.clients.counts().filled);
    clients["refused_without_room"] = Json::UInt64(parts.clients.counts().noRoom);
    clients["abandoned_requests"] = Json::UInt64(parts.clients.counts().abandonedRequests);
    return calls;
}

Json::Value dumpTargets(const std::vector<target_status>& targets)
{
    Json::Value json(Json::arrayValue);
    for (const auto& standing : targets) {
        Json::Value target;
        target["name"] = standing.name;
        target["service"] = standing.service;
        target["load"] = standing.load;
        target["limit"] = standing.limit;
        if (standing.pace) {
            target["pace"] = *standing.pace;
        }
        json.append(target);
    }
    return json;
}

node_gauges gaugesOf(const routed_parts& parts)
{
    auto gauges = readGauges(dumpCalls(parts));
    gauges.contractRevision = parts.routes.version();
    gauges.members = parts.members;
    if (auto age = parts.routes.age()) {
        gauges.configurationAge = std::chrono::duration<double>(*age).count();
    }
    gauges.crossedAnswers = parts.calls.peerCounts().crossedAnswers;
    gauges.damagedAnswers = parts.calls.peerCounts().damagedAnswers;
    gauges.connectsFailed = parts.calls.peerCounts().connectsFailed;
    gauges.damagedFrames = parts.peers.damagedFrames();
    gauges.clientConnections = parts.clients.connections();
    gauges.pausedClientConnections = parts.clients.pausedConnections();
    gauges.clientConnectionsFilled = parts.clients.counts().filled;
    gauges.abandonedRequests = parts.clients.counts().abandonedRequests;
    gauges.refusedReports = parts.server.refused();
    gauges.poisonContents = parts.poison.poisonCount();
    gauges.serverSlowdown = parts.calls.target().pace().slowdown(std::chrono::steady_clock::now());
    gauges.contradictedLoads = parts.calls.target().pace().contradictions();
    gauges.unreadableLoads = parts.unreadableLoads;
    gauges.unreadableNotices = parts.unreadableNotices;
    gauges.serverRateLimit = parts.calls.target().notice().rateLimit.value_or(gauges.serverRateLimit);
    gauges.serverRequests = parts.calls.target().gate().counters().admitted;
    gauges.oversizedAnswers = parts.calls.serverCounts().oversizedAnswers;
    gauges.storeReturns = parts.storeReturns;
    gauges.quotaWaiting = parts.quotas.waiting();
    gauges.quotaAsks = parts.quotas.counts().asks;
    gauges.quotaUnanswered = parts.quotas.counts().unanswered;
    return gauges;
}

void logServerEnd(const server_end& end)
{
    std::string contents;
    for (std::size_t i = 0; i < std::min(end.running.size(), maxLoggedContents); ++i) {
        contents += (i == 0 ? "" : " ") + toString(end.running[i]);
    }
    logEvent(events::backendServerEnded, { { "instance", end.start.instanceId }, { "running", std::to_string(end.running.size()) }, { "contents", contents } });
}

}
