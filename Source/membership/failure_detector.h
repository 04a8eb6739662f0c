#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// One probe of a member, not answered yet.
struct probe {
    std::uint32_t sequence = 0;
    std::uint64_t targetId = 0;
    std::string availabilityZone;
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point deadline;
    // Whether the probe has passed from the direct to the indirect phase, in which
    // other members ping the target.
    bool indirect = false;
    std::uint32_t pingRequestsSent = 0;
    std::uint32_t pingRequestsAccepted = 0;
};

// The probes in progress, from the direct ping to the answer or the indirect timeout.
class failure_detector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Returns a sequence number for a ping that is not a probe of this node.
    std::uint32_t nextSequence() { return ++m_lastSequence; }

    // Returns the sequence number of the new probe.
    std::uint32_t start(std::uint64_t targetId, const std::string& zone, time_point now, std::chrono::milliseconds timeout);

    // Removes and returns the probe that the answer belongs to; returns nothing if
    // the answer is late or does not match a probe.
    std::optional<probe> takeAnswered(std::uint32_t sequence, std::uint64_t targetId);

    void recordPingRequestAccepted(std::uint32_t sequence);
    // Starts the indirect phase of a probe.
    void recordPingRequestsSent(std::uint32_t sequence, std::size_t count, time_point deadline);

    // Returns the probes whose direct ping has timed out and that are not indirect yet.
    std::vector<probe> directTimeouts(time_point now) const;

    // Removes and returns the probes whose indirect phase has timed out.
    std::vector<probe> takeFailed(time_point now);

    // Drops all probes after a pause of this node: answers may have arrived meanwhile.
    void dropAll() { m_probes.clear(); }

private:
    std::uint32_t m_lastSequence = 0;
    std::map<std::uint32_t, probe> m_probes;
};

}
