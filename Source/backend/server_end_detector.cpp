#include "backend/server_end_detector.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // When a server ends, all its connections break within this time. A connection that is still
    // open after it shows that the server is running.
    constexpr std::chrono::milliseconds settleTime { 30 };

    // A run that terminates its server usually does so within a second of its start. Its caller may
    // have cancelled it before.
    constexpr std::chrono::milliseconds cancelledRetention { 1000 };
    // Limits the memory that many cancelled calls can use: twice the slots of a large server.
    constexpr std::size_t maxCancelled = 1024;

}

void server_end_detector::runLost(const server_start& start, request_fingerprint content, time_point now)
{
    if (!m_start || *m_start != start) {
        m_start = start;
        m_lostRuns.clear();
    }
    if (m_lostRuns.empty()) {
        m_firstLoss = now;
        m_probeStarted = false;
        m_isReachable = false;
    }
    m_lostRuns.push_back(content);
}

void server_end_detector::runCancelled(request_fingerprint content, time_point now)
{
    m_cancelledRuns.push_back({ content, now });
    while (m_cancelledRuns.size() > maxCancelled || m_cancelledRuns.front().time < now - cancelledRetention) {
        m_cancelledRuns.pop_front();
    }
}

bool server_end_detector::startProbeIfDue(time_point now)
{
    if (m_lostRuns.empty() || m_probeStarted || now < m_firstLoss + settleTime) {
        return false;
    }
    m_probeStarted = true;
    return true;
}

std::optional<server_end> server_end_detector::probed(server_presence presence, time_point now)
{
    if (presence == server_presence::Gone) {
        return takeEnd(now);
    }
    m_isReachable = presence == server_presence::Reachable;
    if (!m_isReachable) {
        m_lostRuns.clear();
    }
    return std::nullopt;
}

// The server may have restarted before the probe; the first report of the new start shows this.
std::optional<server_end> server_end_detector::serverIdentified(const server_start& start, time_point now)
{
    if (m_lostRuns.empty()) {
        return std::nullopt;
    }
    if (*m_start != start) {
        return takeEnd(now);
    }
    if (m_isReachable) {
        m_lostRuns.clear();
    }
    return std::nullopt;
}

std::optional<server_end> server_end_detector::takeEnd(time_point now)
{
    if (m_lostRuns.empty()) {
        return std::nullopt;
    }
    server_end end { *m_start, std::exchange(m_lostRuns, {}) };
    for (const auto& run : m_cancelledRuns) {
        if (run.time >= now - cancelledRetention) {
            end.running.push_back(run.content);
        }
    }
    m_cancelledRuns.clear();
    std::sort(end.running.begin(), end.running.end());
    end.running.erase(std::unique(end.running.begin(), end.running.end()), end.running.end());
    return end;
}

}
