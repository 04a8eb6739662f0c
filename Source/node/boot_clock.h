#pragma once

#include <chrono>

namespace vanillashunt {

// The present time by a clock that, unlike the steady clock, also advances while the machine is suspended. Its
// time points are not comparable with those of the steady clock.
std::chrono::steady_clock::time_point bootTime();

}
