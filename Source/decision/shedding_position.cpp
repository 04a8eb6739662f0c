#include "decision/shedding_position.h"

#include <xxhash.h>

namespace vanillashunt {

shedding_position sheddingPosition(importance level, const std::string& requestId)
{
    auto hash = XXH3_64bits(requestId.data(), requestId.size());
    auto base = static_cast<shedding_position>(level) * positionsPerImportance;
    return base + static_cast<shedding_position>(hash % positionsPerImportance);
}

}
