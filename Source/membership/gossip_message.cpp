#include "membership/gossip_message.h"

namespace vanillashunt {

std::size_t wireBytes(const member_update& update)
{
    constexpr std::size_t stateBytes = 18;
    constexpr std::size_t numberBytes = 12;
    constexpr std::size_t lengthBytes = 2;
    if (!update.whole) {
        return stateBytes;
    }
    const auto& entry = update.entry;
    auto bytes = stateBytes + numberBytes;
    for (const auto* text : { &entry.name, &entry.availabilityZone, &entry.region, &entry.address, &entry.operatorAddress, &entry.service }) {
        bytes += lengthBytes + text->size();
    }
    return bytes;
}

}
