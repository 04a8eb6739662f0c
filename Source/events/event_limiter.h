#pragma once

#include "events/event.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace vanillashunt {

// Decides which of an event's repetitions are written, so that a flood of one
// event neither fills the log nor hides the others.
class event_limiter {
public:
    // Of each event, so many are written in one interval.
    event_limiter(std::uint32_t most, std::chrono::milliseconds interval);

    // Returns how many were left out since the last that was written; nothing if
    // this one is to be left out, too.
    std::optional<std::uint64_t> take(const event&, std::chrono::steady_clock::time_point now);

private:
    // Of one event.
    struct repetition {
        std::chrono::steady_clock::time_point intervalStarted;
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    std::uint32_t m_most;
    std::chrono::milliseconds m_interval;
    std::unordered_map<int, repetition> m_byNumber;
};

}
