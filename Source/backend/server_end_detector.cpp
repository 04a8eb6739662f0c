#include "backend/server_end_detector.h"

#include <algorithm>
#include <utility>

namespace vanillashunt {

namespace {

    // All connections of a server that ends break within this time, so that what is still
    // open then tells that the server is there.
    constexpr std::chrono::milliseconds settleTime { 30 };

    // Runs that end their server do so within a second of their start, mostly; whoever
    // asked for one may have left before that.
    constexpr std::chrono::milliseconds cancelledTime { 1000 };
    // Bounds what a storm of cancelled calls can take: the slots of a large server twice over.
    constexpr std::size_t mostCancelled = 1024;

}

void server_end_detector::runLost(const server_start& start, request_fingerprint content, time_point now)
{
    if (!m_start || *m_start != start) {
        m_start = start;
        m_lost.clear();
    }
    if (m_lost.empty()) {
        m_since = now;
        m_asked = false;
        m_reachable = false;
    }
    m_lost.push_back(content);
}

void server_end_detector::runCancelled(request_fingerprint content, time_point now)
{
    m_cancelled.push_back({ content, now });
    while (m_cancelled.size() > mostCancelled || m_cancelled.front().at < now - cancelledTime) {
        m_cancelled.pop_front();
    }
}

bool server_end_detector::startProbeIfDue(time_point now)
{
    if (m_lost.empty() || m_asked || now < m_since + settleTime) {
        return false;
    }
    m_asked = true;
    return true;
}

std::optional<server_end> server_end_detector::probed(server_presence presence, time_point now)
{
    if (presence == server_presence::Gone) {
        return takeEnd(now);
    }
    m_reachable = presence == server_presence::Reachable;
    if (!m_reachable) {
        m_lost.clear();
    }
    return std::nullopt;
}

// A server may be back before it is asked; its first report tells.
std::optional<server_end> server_end_detector::serverIdentified(const server_start& start, time_point now)
{
    if (m_lost.empty()) {
        return std::nullopt;
    }
    if (*m_start != start) {
        return takeEnd(now);
    }
    if (m_reachable) {
        m_lost.clear();
    }
    return std::nullopt;
}

std::optional<server_end> server_end_detector::takeEnd(time_point now)
{
    if (m_lost.empty()) {
        return std::nullopt;
    }
    server_end end { *m_start, std::exchange(m_lost, {}) };
    for (const auto& run : m_cancelled) {
        if (run.at >= now - cancelledTime) {
            end.running.push_back(run.content);
        }
    }
    m_cancelled.clear();
    std::sort(end.running.begin(), end.running.end());
    end.running.erase(std::unique(end.running.begin(), end.running.end()), end.running.end());
    return end;
}

}
