#pragma once

#include "contract/contract.h"
#include "decision/member.h"
#include "settings/node_settings.h"

#include <json/value.h>

namespace vanillashunt {

// What one node tells operators of itself, but for what its actors know.
struct operator_state {
    member self;
    node_settings settings;
    std::chrono::milliseconds uptime { 0 };
    member_list members;
    contract_snapshot contracts;
};

// Writes the state as the method dump answers it; calls is the call actor's part.
Json::Value toJson(const operator_state&, const Json::Value& calls);

Json::Value toJson(const member&);

// Picks from a dump what the method status answers.
Json::Value statusOf(const Json::Value& dump);

}
