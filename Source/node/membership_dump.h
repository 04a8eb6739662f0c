#pragma once

#include "membership/gossip_protocol.h"
#include "node/seed_keeper.h"
#include "peer/gossip_socket.h"

#include <json/value.h>

namespace vanillashunt {

// What operators see of membership: the members with their states and the
// reasons, the zones that are reached, the own health, and counts.
Json::Value dumpMembership(const gossip_protocol&, const gossip_counts&, const seed_keeper_counts&, std::chrono::steady_clock::time_point now);

}
