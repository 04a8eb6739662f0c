#pragma once

#include <cstdint>

namespace vanillashunt {

// The time until a call that is sent to a target now is answered, in units of the mean time that
// its class takes: the wait for a slot and the run.
//   pace   how much longer than the mean a call takes there
//   load   calls there, as a part of the limit; over 1 where calls wait
//   limit  calls that run there at once
double expectedTime(double pace, double load, std::uint32_t limit);

}
