#pragma once

#include <chrono>

namespace vanillashunt {

// When a node pushes its updates to others: as soon as there are some, and once more
// after a delay. A token bucket limits the rate, so that many changes at once do not
// flood the network.
class push_schedule {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The delay is between the first and the second push of an update.
    push_schedule(std::chrono::milliseconds secondPushDelay, time_point now);

    // Schedules a push as soon as possible and a second one after the delay.
    void updateQueued(time_point now);

    // Schedules one more push after the delay.
    void scheduleRepeat(time_point now) { m_secondPushTime = now + m_secondPushDelay; }

    // Fills the token bucket.
    void refill();

    // Whether a push is to be sent as soon as possible.
    bool isPending() const { return m_pending; }

    // Returns whether a push is due; a due second push is reported only once.
    bool takeDue(time_point now);

    // Takes one token and returns true; without a token the push stays pending.
    bool takeToken(time_point now);

private:
    std::chrono::milliseconds m_secondPushDelay;
    bool m_pending = false;
    time_point m_secondPushTime = time_point::max();
    double m_tokens;
    time_point m_lastRefill;
};

}
