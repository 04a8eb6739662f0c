#include "membership/failure_detector.h"

namespace vanillashunt {

std::uint32_t failure_detector::start(std::uint64_t targetId, const std::string& zone, time_point now, std::chrono::milliseconds timeout)
{
    probe started;
    started.sequence = ++m_lastSequence;
    started.targetId = targetId;
    started.availabilityZone = zone;
    started.sentAt = now;
    started.deadline = now + timeout;
    m_probes.emplace(started.sequence, started);
    return started.sequence;
}

std::optional<probe> failure_detector::takeAnswered(std::uint32_t sequence, std::uint64_t targetId)
{
    auto found = m_probes.find(sequence);
    if (found == m_probes.end() || found->second.targetId != targetId) {
        return std::nullopt;
    }
    auto ended = found->second;
    m_probes.erase(found);
    return ended;
}

void failure_detector::recordPingRequestAccepted(std::uint32_t sequence)
{
    auto found = m_probes.find(sequence);
    if (found != m_probes.end()) {
        ++found->second.pingRequestsAccepted;
    }
}

void failure_detector::recordPingRequestsSent(std::uint32_t sequence, std::size_t count, time_point deadline)
{
    auto found = m_probes.find(sequence);
    if (found == m_probes.end()) {
        return;
    }
    found->second.indirect = true;
    found->second.pingRequestsSent = static_cast<std::uint32_t>(count);
    found->second.deadline = deadline;
}

std::vector<probe> failure_detector::directTimeouts(time_point now) const
{
    std::vector<probe> found;
    for (const auto& [sequence, entry] : m_probes) {
        if (!entry.indirect && entry.deadline <= now) {
            found.push_back(entry);
        }
    }
    return found;
}

std::vector<probe> failure_detector::takeFailed(time_point now)
{
    std::vector<probe> failed;
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        if (!it->second.indirect || it->second.deadline > now) {
            ++it;
            continue;
        }
        failed.push_back(it->second);
        it = m_probes.erase(it);
    }
    return failed;
}

}
