#include "admission/usable_slots.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

namespace {

    // A server that is as fast when full as before loses a fifteenth of what it ends.
    // One that needs 1.3 times as long from 0.95 of its slots on gains a fifth.
    constexpr double usablePart = 0.94;

    // Of fewer slots, one is too large a part to be left free.
    constexpr std::uint32_t fewSlots = 4;

}

std::uint32_t usableSlots(std::uint32_t announced)
{
    if (announced <= fewSlots) {
        return announced;
    }
    return static_cast<std::uint32_t>(std::floor(announced * usablePart));
}

}
