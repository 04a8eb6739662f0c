#pragma once

#include "decision/importance.h"

#include <cstdint>
#include <string>

namespace vanillashunt {

// A request's position in the shedding order; low positions are shed first. It is the same
// on every node of the call chain, so that all nodes shed the same requests. A cut is the
// lowest position that is admitted: cut 0 admits everything, and cut sheddingPositionCount
// refuses everything.
using shedding_position = std::uint32_t;

constexpr shedding_position positionsPerImportance = 4096;
constexpr shedding_position sheddingPositionCount = positionsPerImportance * importanceCount;

// Orders by importance, then by a hash of the request's id.
shedding_position sheddingPosition(importance, const std::string& requestId);

// The rank of an organisation among the others, as set by the operator.
struct organisation_rank {
    // Number of ranks above this one, and of all ranks.
    std::uint32_t before = 0;
    std::uint32_t count = 1;
};

// Adjusts the position that a request has by its route to the rank of its organisation. All
// requests of a higher rank are placed above all requests of lower ranks. The lowest rank
// keeps the order of the routes.
shedding_position rankedPosition(shedding_position routePosition, organisation_rank);

}
