#pragma once

#include "decision/shedding_position.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace vanillashunt {

// A call that asks to run at the own backend server.
struct admission_request {
    std::uint64_t callId = 0;
    shedding_position position = 0;
    std::string customer;
    std::chrono::steady_clock::time_point deadline;
};

enum class admission_outcome {
    Run,
    Wait,
    Refuse,
};

struct admission_decision {
    admission_outcome outcome = admission_outcome::Run;
    // Why, and when to come back; only with Refuse.
    verdict refusal;
};

// What became of a call that ran, as the node itself saw it.
struct service_outcome {
    std::chrono::microseconds duration { 0 };
    // Whether the backend server refused it for overload.
    bool refused = false;
};

// A waiting call whose turn has come, or that is given up.
struct gate_release {
    std::uint64_t callId = 0;
    admission_decision decision;
};

// Decides which calls run at the own backend server, which wait and which are
// refused: an in-flight limit, and a queue by shedding position.
class admission_gate {
public:
    // The limit never goes over the slots that the backend server announces.
    void setSlots(std::uint32_t slots, std::chrono::steady_clock::time_point now);

    // A call that is to wait is released later by release().
    admission_decision arrive(const admission_request&, std::chrono::steady_clock::time_point now);

    // Ends a call that ran.
    void finish(std::uint64_t callId, const service_outcome&, std::chrono::steady_clock::time_point now);

    // Ends a call that waits or runs and that nobody wants any more.
    void cancel(std::uint64_t callId, std::chrono::steady_clock::time_point now);

    // Returns the waiting calls that are to start or to be refused now; to be
    // called after finish, cancel, setSlots and on each clock tick.
    std::vector<gate_release> release(std::chrono::steady_clock::time_point now);

    // The lowest shedding position that is admitted now.
    shedding_position cut() const { return m_cut; }
    std::uint32_t limit() const { return m_limit; }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    using queue = std::multimap<shedding_position, admission_request, std::greater<>>;

    std::uint32_t m_limit = 0;
    shedding_position m_cut = 0;
    std::unordered_set<std::uint64_t> m_running;
    queue m_waiting;
};

}
