#include "admission/entrance_gate.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // One in so many of what is refused by the cut is let through, to learn
    // whether the cut has opened.
    constexpr std::uint64_t probeInterval = 32;

    constexpr std::chrono::milliseconds leastRetryAfter { 100 };

    std::string kindOf(const entrance_request& request)
    {
        return request.organisation + '\n' + request.requestClass;
    }

}

entrance_gate::entrance_gate(entrance_settings settings)
    : m_settings(std::move(settings))
{
}

entrance_judgement entrance_gate::evaluate(const entrance_request& request, std::chrono::steady_clock::time_point now)
{
    auto kind = kindOf(request);
    auto known = m_cuts.get(kind, now);
    return { known, judgeBy(known, kind, request, now) };
}

std::optional<verdict> entrance_gate::judgeBy(const remembered_cut& known, const std::string& kind, const entrance_request& request, std::chrono::steady_clock::time_point now)
{
    if (m_settings.policy != admission_policy::Full) {
        return std::nullopt;
    }
    if (m_times.cannotFinish(m_times.indexOf(kind), request.deadline, now)) {
        ++m_counters.refusedTooShort;
        return verdict::notRun(verdict_reason::DeadlineTooShort);
    }
    if (request.position >= known.cut || isProbe(request.position, known.cut)) {
        return std::nullopt;
    }
    ++m_counters.refusedBelowCut;
    auto time = std::max(known.retryAfter, leastRetryAfter);
    auto spread = m_settings.randomBelow(static_cast<std::uint64_t>(time.count()) + 1);
    return verdict::notRun(verdict_reason::Overload, time / 2 + std::chrono::milliseconds(spread));
}

// Only the importance that opens next is probed: a lesser one would be refused below.
bool entrance_gate::isProbe(shedding_position position, shedding_position cut)
{
    if (position / positionsPerImportance != (cut - 1) / positionsPerImportance || m_settings.randomBelow(probeInterval) != 0) {
        return false;
    }
    ++m_counters.probes;
    return true;
}

void entrance_gate::recordCut(const entrance_request& request, const remembered_cut& news, std::chrono::steady_clock::time_point now)
{
    m_cuts.learn(kindOf(request), news, now);
}

void entrance_gate::recordDuration(const entrance_request& request, std::chrono::microseconds time, std::chrono::steady_clock::time_point now)
{
    m_times.add(m_times.indexOf(kindOf(request)), time, now);
}

}
