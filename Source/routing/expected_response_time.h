#pragma once

#include <cstdint>

namespace vanillashunt {

// Returns the expected response time of a call that is sent to a target now: the wait for a slot
// plus the service time, in units of the mean service time of the call's class.
//   pace   service time at the target relative to the mean; 2 is twice as slow
//   load   calls at the target divided by its limit; above 1 if calls wait
//   limit  calls that run at the target at once
double expectedResponseTime(double pace, double load, std::uint32_t limit);

}
