#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// One probe of a member that has not been answered yet.
struct probe {
    std::uint32_t sequence = 0;
    std::uint64_t targetId = 0;
    std::string availabilityZone;
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point deadline;
    // Whether others were asked to ping the target.
    bool indirect = false;
    std::uint32_t helpersAsked = 0;
    std::uint32_t helpersHeard = 0;
};

// The probes in progress, from the ping to the answer or to the last timeout.
class failure_detector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // A sequence number for a ping that is not one of these probes.
    std::uint32_t takeSequence() { return ++m_lastSequence; }

    std::uint32_t start(std::uint64_t targetId, const std::string& zone, time_point now, std::chrono::milliseconds timeout);

    // Returns the probe that the answer ends; nothing for a late or foreign one.
    std::optional<probe> answered(std::uint32_t sequence, std::uint64_t targetId);

    void helperHeard(std::uint32_t sequence);
    void askedHelpers(std::uint32_t sequence, std::size_t count, time_point deadline);

    // Probes whose direct ping was not answered in time and that have not been indirect yet.
    std::vector<probe> directlyUnanswered(time_point now) const;

    // Takes the probes that have failed.
    std::vector<probe> takeFailed(time_point now);

    // Forgets all, since answers may have come while this node did not listen.
    void dropAll() { m_probes.clear(); }

private:
    std::uint32_t m_lastSequence = 0;
    std::map<std::uint32_t, probe> m_probes;
};

}
