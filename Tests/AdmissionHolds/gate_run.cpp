#include "AdmissionHolds/gate_run.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds tickPeriod { 5 };
    constexpr std::chrono::milliseconds guardTime { 100 };

    admission_settings withRandom(const admission_settings& given, std::mt19937& random)
    {
        auto settings = given;
        settings.randomBelow = [&random](std::uint64_t bound) { return random() % bound; };
        return settings;
    }

}

gate_run::gate_run(const admission_settings& settings, std::uint32_t seed)
    : m_random(seed)
    , m_gate(withRandom(settings, m_random))
{
    m_gate.setShares({ { "big", 0.5 }, { "small", 0.5 } });
    m_gate.setSlots(slots, m_now);
}

void gate_run::run(const load_phase& phase)
{
    auto end = m_now + phase.length;
    auto perSecond = phase.load * slots / std::chrono::duration<double>(meanService).count();
    std::exponential_distribution<double> gap(perSecond);
    while (true) {
        auto next = m_now + std::chrono::duration_cast<test_time::duration>(std::chrono::duration<double>(gap(m_random)));
        advanceTo(std::min(next, end));
        if (next >= end) {
            return;
        }
        arrive(phase);
    }
}

void gate_run::settle()
{
    advanceTo(m_now + std::chrono::seconds(5));
}

void gate_run::advanceTo(test_time until)
{
    while (true) {
        bool endsFirst = !m_running.empty() && m_running.top().end <= m_nextTick;
        auto next = endsFirst ? m_running.top().end : m_nextTick;
        if (next > until) {
            break;
        }
        m_now = next;
        if (endsFirst) {
            auto callId = m_running.top().callId;
            m_running.pop();
            auto& call = m_calls[callId];
            call.ended = m_now;
            m_gate.finish(callId, { std::chrono::duration_cast<std::chrono::microseconds>(m_now - call.runs.back()), false }, m_now);
        } else {
            m_nextTick += tickPeriod;
        }
        release();
    }
    m_now = until;
}

void gate_run::arrive(const load_phase& phase)
{
    auto draw = uniform();
    auto level = draw < phase.confirmed              ? importance::Confirmed
        : draw < phase.confirmed + phase.interactive ? importance::Interactive
                                                     : importance::Deferrable;
    call_record call;
    call.position = static_cast<shedding_position>(level) * positionsPerImportance + static_cast<shedding_position>(m_random() % positionsPerImportance);
    call.organisation = uniform() < phase.big ? "big" : "small";
    call.arrived = m_now;
    m_calls.push_back(call);
    auto callId = m_calls.size() - 1;
    auto deadline = m_now + std::chrono::milliseconds(300 + m_random() % 700);
    applyDecision(callId, m_gate.arrive({ callId, call.position, call.organisation, deadline, toString(level) }, m_now));
    release();
}

void gate_run::applyDecision(std::uint64_t callId, const admission_decision& decision)
{
    auto& call = m_calls[callId];
    if (decision.outcome == admission_outcome::Refuse) {
        call.refusals.push_back(decision.refusal.reason);
        call.ended = m_now;
        if (call.position >= 2 * positionsPerImportance) {
            m_lastConfirmedRefusal = m_now;
        }
        return;
    }
    if (decision.outcome == admission_outcome::Run) {
        call.runs.push_back(m_now);
        auto duration = std::chrono::microseconds(1 + static_cast<std::int64_t>(2.0 * uniform() * meanService.count()));
        m_running.push({ m_now + duration, callId });
        m_overSlots += m_gate.inFlight() > slots ? 1 : 0;
    }
}

void gate_run::release()
{
    for (const auto& released : m_gate.release(m_now)) {
        applyDecision(released.callId, released.decision);
    }
    bool blocked = m_gate.waiting(importance::Confirmed) == 0 && m_now <= m_lastConfirmedRefusal + guardTime;
    if (m_gate.waiting() > 0 && m_gate.inFlight() < m_gate.limit() && !blocked) {
        ++m_idleWhileWaiting;
    }
}

}
