#pragma once

namespace vanillashunt {

// Contracts of customer hotel-seri that several tests put in force.

// Services "threads" (reads of /history, 5 s) and "desk" (replies at /reply, 5 s).
extern const char* const threadsAndDeskContract;

// Services "stay" (reads of /details) and "desk" (replies at /reply), 1.5 s each.
extern const char* const stayAndDeskContract;

}
