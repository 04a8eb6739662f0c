#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace vanillashunt {

// Tells which run of the own server made a call. A server's own calls carry no
// mark of it, but they expire when the run does, and all of it happens on one
// machine: so each run is given a deadline that no other run has.
class run_deadlines {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Notes a run; returns the deadline to tell the server, which is the run's own
    // or a few milliseconds earlier.
    time_point begin(std::uint64_t runId, time_point deadline);

    void end(std::uint64_t runId);

    // The run whose calls expire then; nothing if there is none.
    std::optional<std::uint64_t> find(time_point deadline) const;

private:
    std::map<time_point, std::uint64_t> m_runs;
    std::unordered_map<std::uint64_t, time_point> m_deadlines;
};

}
