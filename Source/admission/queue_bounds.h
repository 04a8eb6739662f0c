#pragma once

#include <cstddef>
#include <cstdint>

namespace vanillashunt {

// How many calls may wait for a server. The limit is of calls that it runs at once,
// the drain rate of calls that it ends in a second; 0 while it is not known.

// Calls of requests that begin here.
std::size_t queueBound(std::uint32_t limit, double drainRate);

// Calls of requests on which work has been done. They may wait for longer, and not
// for so long that they fill the servers that wait for them.
std::size_t begunQueueBound(std::uint32_t limit, double drainRate);

}
