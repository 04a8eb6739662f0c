#pragma once

#include "call/call_observation.h"
#include "events/event_limiter.h"

namespace vanillashunt {

// Writes the events of requests that did not go well to the log, a few of each
// kind in a second.
class call_log {
public:
    void observe(const call_observation&);

private:
    void write(const event&, const call_observation&);

    event_limiter m_limiter { 40, std::chrono::seconds(1) };
};

}
