#pragma once

#include <json/value.h>

#include <cstdint>

namespace vanillashunt {

// Measures what the path through two nodes adds to a call, against calls that go
// straight to the same backend servers in the same run, and what a node costs
// when it is idle and when it carries calls.
Json::Value measurePathCost(std::uint64_t seed);

}
