#pragma once

#include "admission/admission_gate.h"

#include <chrono>
#include <cstdint>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

using test_time = std::chrono::steady_clock::time_point;

// A period of random arrivals.
struct load_phase {
    std::chrono::milliseconds length { 0 };
    // Arrival rate as a multiple of the capacity of the slots.
    double load = 1;
    // Fractions of the arrivals that are confirmed and interactive.
    double confirmed = 0.2;
    double interactive = 0.3;
    // Fraction of the arrivals that belongs to organisation "big"; the others belong to
    // "small".
    double big = 0.5;
};

// The history of one call.
struct call_record {
    shedding_position position = 0;
    std::string organisation;
    test_time arrived;
    // All outcomes that the gate gave: times of starts and reasons of refusals.
    std::vector<test_time> runs;
    std::vector<verdict_reason> refusals;
    test_time ended;
};

// Drives one gate with random arrivals and a simulated backend server, which completes
// each call after a random service time. Uses a simulated clock.
class gate_run {
public:
    static constexpr std::uint32_t slots = 8;
    static constexpr std::chrono::microseconds meanService { 5000 };

    gate_run(const admission_settings&, std::uint32_t seed);

    void run(const load_phase&);

    // Advances the clock by five seconds without arrivals, so that all calls end.
    void settle();

    test_time now() const { return m_now; }
    admission_gate& gate() { return m_gate; }
    const std::vector<call_record>& calls() const { return m_calls; }
    // Moments at which more calls ran than there are slots.
    int overSlots() const { return m_overSlots; }
    // Moments at which a slot was free while a call waited that could have used it.
    int idleWhileWaiting() const { return m_idleWhileWaiting; }

private:
    struct running_end {
        test_time end;
        std::uint64_t callId;
        bool operator<(const running_end& other) const { return end > other.end; }
    };

    void advanceTo(test_time);
    void arrive(const load_phase&);
    void applyDecision(std::uint64_t callId, const admission_decision&);
    void release();
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }

    std::mt19937 m_random;
    admission_gate m_gate;
    test_time m_now { std::chrono::hours(1) };
    test_time m_nextTick { std::chrono::hours(1) };
    std::priority_queue<running_end> m_running;
    std::vector<call_record> m_calls;
    test_time m_lastConfirmedRefusal;
    int m_overSlots = 0;
    int m_idleWhileWaiting = 0;
};

}
