#pragma once

#include "caller/pipeline_server.h"
#include "node/replicated_poison_ledger.h"
#include "node/route_watch.h"
#include "node/routed_calls.h"
#include "node/server_reports.h"
#include "operator/node_metrics.h"
#include "peer/peer_server.h"
#include "quota/quota_exchange.h"

#include <json/value.h>

namespace vanillashunt {

// The parts of a routed node from which its state and metrics are read.
struct routed_parts {
    const routed_calls& calls;
    const server_reports& server;
    const route_watch& routes;
    const replicated_poison_ledger& poison;
    const quota_exchange& quotas;
    const peer_server& peers;
    const pipeline_server& clients;
    std::uint64_t storeReturns = 0;
    std::size_t members = 0;
    bool draining = false;
    std::uint64_t unreadableLoads = 0;
    std::uint64_t unreadableNotices = 0;
};

// The calls in progress, in the format of nodes with contracts, so that one command reads
// both.
Json::Value dumpCalls(const routed_parts&);

// The targets that this node has sent calls to, with the figures by which it chooses among
// them. Not part of dumpCalls(), which is evaluated for each request of the metrics.
Json::Value dumpTargets(const std::vector<target_status>&);

node_gauges gaugesOf(const routed_parts&);

// Logs that the backend server terminated, and the contents of the requests it was running.
void logServerEnd(const server_end&);

}
