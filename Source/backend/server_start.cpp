#include "backend/server_start.h"

#include <xxhash.h>

namespace vanillashunt {

std::string bornText(const server_start& start)
{
    if (!start.born) {
        return "";
    }
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(start.born->time_since_epoch()).count());
}

std::uint64_t hashOf(const server_start& start)
{
    auto bornMilliseconds = start.born ? start.born->time_since_epoch() / std::chrono::milliseconds(1) : 0;
    return XXH3_64bits_withSeed(start.instanceId.data(), start.instanceId.size(), static_cast<std::uint64_t>(bornMilliseconds));
}

}
