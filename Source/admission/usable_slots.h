#pragma once

#include <cstdint>

namespace vanillashunt {

// How many of a server's announced slots are used at once. Some servers become slower when
// they are nearly full (the platform documents this for some of its servers), and then
// complete fewer calls with their last slots than without them.
std::uint32_t usableSlots(std::uint32_t announced);

}
