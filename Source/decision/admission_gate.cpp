#include "decision/admission_gate.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Waiting calls for each slot; more would wait longer than they are worth.
    constexpr std::size_t queueFactor = 2;
    constexpr std::chrono::milliseconds defaultRetryAfter { 200 };

}

void admission_gate::setSlots(std::uint32_t slots, std::chrono::steady_clock::time_point)
{
    m_limit = slots;
}

admission_decision admission_gate::arrive(const admission_request& request, std::chrono::steady_clock::time_point now)
{
    if (request.deadline <= now) {
        return { admission_outcome::Refuse, verdict::notRun(verdict_reason::DeadlinePassed) };
    }
    if (m_limit == 0) {
        return { admission_outcome::Refuse, verdict::notRun(verdict_reason::NoBackendServer) };
    }
    if (m_running.size() < m_limit && m_waiting.empty()) {
        m_running.insert(request.callId);
        return { admission_outcome::Run, {} };
    }
    if (m_waiting.size() >= queueFactor * m_limit) {
        return { admission_outcome::Refuse, verdict::notRun(verdict_reason::Overload, defaultRetryAfter) };
    }
    m_waiting.emplace(request.position, request);
    return { admission_outcome::Wait, {} };
}

void admission_gate::finish(std::uint64_t callId, const service_outcome&, std::chrono::steady_clock::time_point)
{
    m_running.erase(callId);
}

void admission_gate::cancel(std::uint64_t callId, std::chrono::steady_clock::time_point)
{
    m_running.erase(callId);
    auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [callId](const auto& item) { return item.second.callId == callId; });
    if (found != m_waiting.end()) {
        m_waiting.erase(found);
    }
}

std::vector<gate_release> admission_gate::release(std::chrono::steady_clock::time_point now)
{
    std::vector<gate_release> released;
    while (!m_waiting.empty() && m_running.size() < m_limit) {
        auto first = m_waiting.begin();
        auto request = first->second;
        m_waiting.erase(first);
        if (request.deadline <= now) {
            released.push_back({ request.callId, { admission_outcome::Refuse, verdict::notRun(verdict_reason::DeadlinePassed) } });
            continue;
        }
        m_running.insert(request.callId);
        released.push_back({ request.callId, { admission_outcome::Run, {} } });
    }
    return released;
}

}
