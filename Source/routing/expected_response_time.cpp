#include "routing/expected_response_time.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

// Below the limit, the wait follows Sakasegawa's approximation (1977) for a queue with several
// slots, random arrivals and random service times. From the limit on, all slots together work off
// the waiting calls.
double expectedResponseTime(double pace, double load, std::uint32_t limit)
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
