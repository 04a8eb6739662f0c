#pragma once

#include <json/value.h>

namespace vanillashunt {

// Processor time that routed nodes take for one call, at the node where it enters and
// at the node beside the server that runs it, at the given calls in a second.
Json::Value measureCallCost(double callsPerSecond);

}
