#include "routing/expected_time.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

// The wait of many slots below their limit by Sakasegawa's approximation (1977) for a queue with
// random arrivals and run times; at and over the limit what waits is worked off by all slots.
double expectedTime(double pace, double load, std::uint32_t limit)
{
    auto slots = static_cast<double>(std::max(limit, 1U));
    auto waitAtLimit = 1.0;
    if (load >= 1) {
        return pace * (1 + waitAtLimit + (load - 1));
    }
    auto exponent = std::sqrt(2 * (slots + 1)) - 1;
    auto wait = std::pow(load, exponent) / (slots * (1 - load));
    return pace * (1 + std::min(wait, waitAtLimit));
}

}
