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

// Where an organisation stands among the others by what its operator says of it.
struct organisation_rank {
    // Other ranks that go before it, and all there are.
    std::uint32_t before = 0;
    std::uint32_t count = 1;
};

// The place of a request whose route alone would give it the other one. What an organisation
// of a higher rank asks goes before all that those below it ask. The lowest rank keeps the
// order of the routes.
shedding_position rankedPosition(shedding_position byRoute, organisation_rank);

}
