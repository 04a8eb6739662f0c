#include "decision/shedding_position.h"

#include <algorithm>
#include <xxhash.h>

namespace vanillashunt {

shedding_position sheddingPosition(importance level, const std::string& requestId)
{
    auto hash = XXH3_64bits(requestId.data(), requestId.size());
    auto base = static_cast<shedding_position>(level) * positionsPerImportance;
    return base + static_cast<shedding_position>(hash % positionsPerImportance);
}

shedding_position rankedPosition(shedding_position routePosition, organisation_rank rank)
{
    constexpr auto confirmedBase = static_cast<shedding_position>(importance::Confirmed) * positionsPerImportance;
    auto width = positionsPerImportance / std::max(1U, rank.count);
    auto ranksBelow = rank.count - 1 - std::min(rank.before, rank.count - 1);
    if (ranksBelow > 0) {
        // Places all requests of the organisation, in the order of its routes, above all lower ranks.
        return confirmedBase + ranksBelow * width + routePosition * width / sheddingPositionCount;
    }
    if (routePosition < confirmedBase) {
        return routePosition;
    }
    return confirmedBase + (routePosition - confirmedBase) * width / positionsPerImportance;
}

}
