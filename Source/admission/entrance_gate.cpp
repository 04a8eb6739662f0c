#include "admission/entrance_gate.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // One in this many of the requests that the cut would refuse is admitted as a probe, to
    // find out whether the cut has fallen.
    constexpr std::uint64_t probeInterval = 32;

    constexpr std::chrono::milliseconds minRetryAfter { 100 };

    std::string keyOf(const entrance_request& request)
    {
        return request.organisation + '\n' + request.requestClass;
    }

}

entrance_gate::entrance_gate(entrance_settings settings)
    : m_settings(std::move(settings))
{
}

entrance_decision entrance_gate::evaluate(const entrance_request& request, std::chrono::steady_clock::time_point now)
{
    auto key = keyOf(request);
    auto remembered = m_cuts.get(key, now);
    return { remembered, refusalFor(remembered, key, request, now) };
}

std::optional<verdict> entrance_gate::refusalFor(const remembered_cut& remembered, const std::string& key, const entrance_request& request, std::chrono::steady_clock::time_point now)
{
    if (m_settings.policy != admission_policy::Full) {
        return std::nullopt;
    }
    if (m_minServiceTimes.cannotFinish(m_minServiceTimes.indexOf(key), request.deadline, now)) {
        ++m_counters.refusedTooShort;
        return verdict::notRun(verdict_reason::DeadlineTooShort);
    }
    if (request.position >= remembered.cut || isProbe(request.position, remembered.cut)) {
        return std::nullopt;
    }
    ++m_counters.refusedBelowCut;
    auto delay = std::max(remembered.retryAfter, minRetryAfter);
    auto spread = m_settings.randomBelow(static_cast<std::uint64_t>(delay.count()) + 1);
    return verdict::notRun(verdict_reason::Overload, delay / 2 + std::chrono::milliseconds(spread));
}

// Probes only the importance that is admitted next when the cut falls; the call chain would
// refuse a lower one.
bool entrance_gate::isProbe(shedding_position position, shedding_position cut)
{
    if (position / positionsPerImportance != (cut - 1) / positionsPerImportance || m_settings.randomBelow(probeInterval) != 0) {
        return false;
    }
    ++m_counters.probes;
    return true;
}

void entrance_gate::recordCut(const entrance_request& request, const remembered_cut& update, std::chrono::steady_clock::time_point now)
{
    m_cuts.record(keyOf(request), update, now);
}

void entrance_gate::recordDuration(const entrance_request& request, std::chrono::microseconds duration, std::chrono::steady_clock::time_point now)
{
    m_minServiceTimes.add(m_minServiceTimes.indexOf(keyOf(request)), duration, now);
}

}
