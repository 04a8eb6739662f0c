#pragma once

#include <string>

namespace vanillashunt {

// Contracts of organisation hotel-seri that several tests put in force.

// Services "threads" (reads of /history, 5 s) and "desk" (replies at /reply, 5 s).
std::string threadsAndDeskContract();

// Service "threads" (reads of /history, 5 s) alone; told by its share, for example "0.5".
std::string contractWithShare(const std::string& share);

// Services "stay" (reads of /details) and "desk" (replies at /reply), 1.5 s each.
extern const char* const stayAndDeskContract;

}
