#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace vanillashunt {

// Identifies the run of this node's backend server that made an onward call. Such calls do
// not name their run, but they carry its deadline, which arrives nearly unchanged since node
// and server are on one machine. Therefore each run is assigned a deadline of its own.
class run_deadlines {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Registers a run; returns the deadline to send to the server, which is the run's own
    // or a few milliseconds earlier.
    time_point begin(std::uint64_t runId, time_point deadline);

    void end(std::uint64_t runId);

    // The run whose calls carry this deadline; nullopt if there is none.
    std::optional<std::uint64_t> find(time_point deadline) const;

private:
    std::map<time_point, std::uint64_t> m_runs;
    std::unordered_map<std::uint64_t, time_point> m_deadlines;
};

}
