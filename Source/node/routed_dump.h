#pragma once

#include "node/poison_share.h"
#include "node/route_watch.h"
#include "node/routed_calls.h"
#include "node/server_reports.h"
#include "operator/node_metrics.h"
#include "peer/peer_server.h"
#include "quota/quota_exchange.h"

#include <json/value.h>

namespace vanillashunt {

// The parts of a routed node that operators look at.
struct routed_parts {
    const routed_calls& calls;
    const server_reports& server;
    const route_watch& routes;
    const poison_share& poison;
    const quota_exchange& quotas;
    const peer_server& peers;
    std::uint64_t storeReturns = 0;
    std::size_t members = 0;
    bool draining = false;
    std::uint64_t unreadableLoads = 0;
};

// The calls in progress, as the dump of a node with contracts has them, so that one
// command reads both.
Json::Value dumpCalls(const routed_parts&);

// How a node sees the targets that it has sent calls to: why a call goes where it goes. Apart
// from the calls, which the metrics are read off each time that they are asked for.
Json::Value dumpTargets(const std::vector<target_status>&);

node_gauges gaugesOf(const routed_parts&);

// Logs that the server has ended, and under which contents.
void logServerEnd(const server_end&);

}
