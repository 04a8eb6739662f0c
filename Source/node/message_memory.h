#pragma once

#include "budget/byte_budget.h"
#include "operator/node_metrics.h"
#include "settings/node_settings.h"

#include <json/value.h>

#include <memory>

namespace vanillashunt {

// Creates the budget of a node for the bytes of its messages, which logs what it refuses. Also lets the
// allocator return the memory of large messages to the system as soon as they are released.
std::shared_ptr<byte_budget> makeMessageBudget(const node_settings&);

// The largest body that the settings and the budget allow.
std::uint64_t largestBody(const node_settings&, const byte_budget&);

Json::Value dumpMessageBudget(const byte_budget&);

void setBudgetGauges(const byte_budget&, node_gauges&);

}
