#include "backend/server_start.h"

#include <xxhash.h>

namespace vanillashunt {

std::uint64_t hashOf(const server_start& start)
{
    auto bornMilliseconds = start.born ? start.born->time_since_epoch() / std::chrono::milliseconds(1) : 0;
    return XXH3_64bits_withSeed(start.instanceId.data(), start.instanceId.size(), static_cast<std::uint64_t>(bornMilliseconds));
}

}
