#pragma once

#include "membership/gossip_protocol.h"
#include "node/seed_keeper.h"
#include "peer/gossip_socket.h"

#include <json/value.h>

namespace vanillashunt {

// Dumps the membership for operators: the members with their states and the
// reasons for them, the reachability of the availability zones, the health of this
// node, and counters.
Json::Value dumpMembership(const gossip_protocol&, const gossip_counts&, const seed_keeper_counts&, std::chrono::steady_clock::time_point now);

}
