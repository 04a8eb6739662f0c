#pragma once

#include <cstdint>

namespace vanillashunt {

// How many of a server's announced slots are to be used at once. A server may become
// slower when it is nearly full (the platform's page of its servers says so of some),
// and then ends less with its last slots than without them.
std::uint32_t usableSlots(std::uint32_t announced);

}
