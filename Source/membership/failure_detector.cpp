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

std::optional<probe> failure_detector::answered(std::uint32_t sequence, std::uint64_t targetId)
{
    auto found = m_probes.find(sequence);
    if (found == m_probes.end() || found->second.targetId != targetId) {
        return std::nullopt;
    }
    auto ended = found->second;
    m_probes.erase(found);
    return ended;
}

void failure_detector::helperHeard(std::uint32_t sequence)
{
    auto found = m_probes.find(sequence);
    if (found != m_probes.end()) {
        ++found->second.helpersHeard;
    }
}

void failure_detector::askedHelpers(std::uint32_t sequence, std::size_t count, time_point deadline)
{
    auto found = m_probes.find(sequence);
    if (found == m_probes.end()) {
        return;
    }
    found->second.indirect = true;
    found->second.helpersAsked = static_cast<std::uint32_t>(count);
    found->second.deadline = deadline;
}

std::vector<probe> failure_detector::directlyUnanswered(time_point now) const
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
    for (auto at = m_probes.begin(); at != m_probes.end();) {
        if (!at->second.indirect || at->second.deadline > now) {
            ++at;
            continue;
        }
        failed.push_back(at->second);
        at = m_probes.erase(at);
    }
    return failed;
}

}
