#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Until when each suspected member has to refute.
class suspicion_timers {
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct suspicion {
        std::uint64_t memberId = 0;
        time_point since;
        time_point deadline;
    };

    // Does nothing for a member that is suspected already.
    void start(std::uint64_t memberId, std::chrono::milliseconds time, time_point now);
    void stop(std::uint64_t memberId);

    // Lets every suspicion begin anew: this node did not listen for a while.
    void restart(std::chrono::milliseconds time, time_point now);

    // Returns those whose time is over; they stay until they are stopped.
    std::vector<suspicion> expired(time_point now) const;

private:
    std::unordered_map<std::uint64_t, suspicion> m_suspicions;
};

}
