#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// The time limits within which suspected members can refute.
class suspicion_timers {
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct suspicion {
        std::uint64_t memberId = 0;
        time_point since;
        time_point deadline;
    };

    // Does nothing for a member that is suspected already.
    void start(std::uint64_t memberId, std::chrono::milliseconds timeout, time_point now);
    void stop(std::uint64_t memberId);

    // Restarts every suspicion after a pause of this node, in which it may have missed
    // refutations.
    void restart(std::chrono::milliseconds timeout, time_point now);

    // Returns the suspicions whose deadline has passed; they remain until stopped.
    std::vector<suspicion> expired(time_point now) const;

private:
    std::unordered_map<std::uint64_t, suspicion> m_suspicions;
};

}
