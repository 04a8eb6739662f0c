#pragma once

#include <cstddef>
#include <cstdint>

namespace vanillashunt {

// How many calls may wait for a server. The limit is the number of calls that it runs at
// once; the drain rate is the number of calls that it completes per second, 0 if unknown.

// The bound for top-level requests.
std::size_t queueBound(std::uint32_t limit, double drainRate);

// The bound for nested calls. They may wait longer than top-level requests, but not so long
// that they occupy all slots of the servers that wait for their answers.
std::size_t nestedQueueBound(std::uint32_t limit, double drainRate);

}
