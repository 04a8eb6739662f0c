#pragma once

#include "decision/importance.h"

#include <cstdint>
#include <string>

namespace vanillashunt {

// A request's place in the shedding order, the same on every node of its call
// chain, so that what one node sheds the others shed too. A cut admits the
// positions that are not below it: cut 0 admits everything, and cut
// sheddingPositionCount refuses everything.
using shedding_position = std::uint32_t;

constexpr shedding_position positionsPerImportance = 4096;
constexpr shedding_position sheddingPositionCount = positionsPerImportance * importanceCount;

// Importance decides first, then a hash of the request's id.
shedding_position sheddingPosition(importance, const std::string& requestId);

}
