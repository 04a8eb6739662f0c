#pragma once

#include "admission/admission_policy.h"
#include "admission/concurrency_limit.h"
#include "admission/duration_histogram.h"
#include "admission/organisation_shares.h"
#include "admission/service_times.h"
#include "admission/shedding_cut.h"
#include "admission/shedding_order.h"
#include "admission/waiting_calls.h"
#include "decision/shedding_position.h"
#include "decision/verdict.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// A call that asks to run at the own backend server.
struct admission_request {
    std::uint64_t callId = 0;
    shedding_position position = 0;
    std::string organisation;
    std::chrono::steady_clock::time_point deadline;
    // The contract's class; the time that a call needs is measured for each.
    std::string requestClass;
    // Whether it is part of a request on which work has been done already. Such a
    // call is not refused by the cut, and waits before whole requests that the
    // cut does not let in; among the others it has its place in the order.
    bool begun = false;
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

// The rules that a gate keeps. Tests switch one off to show that they would
// notice its breach; a node keeps them all.
struct admission_rules {
    // Confirmed requests are shed only after all lesser ones.
    bool confirmedLast = true;
    // The limit never goes over the announced slots.
    bool boundBySlots = true;
    // A call that loses its place in the queue is told so.
    bool answerEvicted = true;
    // An organisation may use what the others leave of the server.
    bool lendUnusedShares = true;
    // The cut opens again after an overload.
    bool cutOpens = true;
};

struct admission_settings {
    admission_policy policy = admission_policy::Full;
    admission_rules rules;
    // Returns a random number below its argument; without it nothing is spread out.
    std::function<std::uint64_t(std::uint64_t bound)> randomBelow;
};

// Calls since the start, for the dump and the metrics.
struct admission_counters {
    std::uint64_t admitted = 0;
    std::uint64_t evicted = 0;
    // Indexed by importance.
    std::array<std::uint64_t, importanceCount> shed {};
    // Indexed by verdict_reason.
    std::array<std::uint64_t, verdictReasonCount> refused {};
};

// Decides which calls run at the own backend server, which wait and which are
// refused: an in-flight limit, a queue by importance and a cut below which
// calls are refused at once.
class admission_gate {
public:
    explicit admission_gate(admission_settings = {});

    // The parts refer to each other.
    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;

    // The limit never goes over the slots that the backend server announces, and
    // ramps up while it is cold.
    void setSlots(std::uint32_t slots, std::chrono::steady_clock::time_point now);
    void setSlots(std::uint32_t slots, std::chrono::milliseconds coldStart, std::chrono::steady_clock::time_point now);

    // Each organisation's part of the backend server under overload.
    void setShares(const std::map<std::string, double>& shares) { m_shares.setShares(shares); }

    // A call that is to wait is released later by release(); it may also take the
    // place of one that waits, so release() is to be called afterwards.
    admission_decision arrive(const admission_request&, std::chrono::steady_clock::time_point now);

    // Ends a call that ran.
    void finish(std::uint64_t callId, const service_outcome&, std::chrono::steady_clock::time_point now);

    // Ends a call that waits or runs and that nobody wants any more.
    void cancel(std::uint64_t callId, std::chrono::steady_clock::time_point now);

    // Returns the waiting calls that are to start or to be refused now; to be
    // called after arrive, finish, cancel, setSlots and on each clock tick.
    std::vector<gate_release> release(std::chrono::steady_clock::time_point now);

    // Whether a call that arrives now need not wait for others.
    bool hasFreeSlot(std::chrono::steady_clock::time_point now);

    // The lowest shedding position that is admitted now.
    shedding_position cut() const { return m_cut.get(); }
    // The same for one organisation.
    shedding_position cutFor(const std::string& organisation) const;
    std::uint32_t limit() const { return m_limitNow; }
    std::uint32_t slots() const { return m_limit.slots(); }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t waiting() const { return m_waiting.size() + m_line.size(); }
    std::size_t waiting(importance level) const { return m_waiting.sizeOf(level); }
    // Calls in a second that the backend server ends, as measured under load.
    double drainRate() const { return m_drainRate; }
    // The measured time that half of the calls need; zero while unknown.
    std::chrono::microseconds serviceTime() const { return m_serviceTime; }
    const admission_counters& counters() const { return m_counters; }

private:
    struct running_call {
        organisation_index organisation = 0;
        class_index requestClass = 0;
    };

    // What happened since the window began.
    struct window {
        std::chrono::steady_clock::time_point start;
        // Calls that ended, and those among them that ended while no slot was free.
        std::uint32_t finished = 0;
        std::uint32_t finishedFull = 0;
        // Time during which no slot was free.
        std::chrono::duration<double> full { 0 };
        // Fewest calls that waited at any moment while no slot was free.
        std::size_t leastWaiting = 0;
        bool refusedForRoom = false;
    };

    admission_decision arriveHop(const waiting_call&);
    admission_decision arriveFull(const waiting_call&, std::chrono::steady_clock::time_point now);
    admission_decision arriveAmongBegun(waiting_call, std::chrono::steady_clock::time_point now);
    admission_decision placeInQueue(const waiting_call&, std::chrono::steady_clock::time_point now);
    admission_decision run(const waiting_call&, std::chrono::steady_clock::time_point now);
    admission_decision refuse(verdict_reason);
    admission_decision refuseForOverload(const waiting_call&, verdict_reason, std::chrono::steady_clock::time_point now);
    verdict_reason overloadReason(const waiting_call&) const;
    bool mayRefuse(const waiting_call&, std::chrono::steady_clock::time_point now) const;
    bool mayShed(const waiting_call&, std::chrono::steady_clock::time_point now) const;
    bool mayStart(const waiting_call&, std::chrono::steady_clock::time_point now) const;
    bool cannotFinish(const waiting_call&, std::chrono::steady_clock::time_point now) const;
    bool waitsTooLong(const waiting_call&, std::chrono::steady_clock::time_point now) const;
    const waiting_call* victimFor(const waiting_call&) const;
    void evict(const waiting_call&, std::chrono::steady_clock::time_point now);
    void trimQueue(std::chrono::steady_clock::time_point now);
    void refuseWaiting(verdict_reason);
    void expireWaiting(std::chrono::steady_clock::time_point now);
    void startWaiting(std::chrono::steady_clock::time_point now);
    void startLine(std::chrono::steady_clock::time_point now);
    std::chrono::milliseconds retryAfter() const;
    void advance(std::chrono::steady_clock::time_point now);
    bool slotFree() const { return m_running.size() < m_limitNow; }
    void noteNoRoom();
    void measureDrain(const window&, std::chrono::duration<double> length);
    void closeWindow(std::chrono::steady_clock::time_point now);

    admission_settings m_settings;
    concurrency_limit m_limit;
    std::uint32_t m_limitNow = 0;
    organisation_shares m_shares;
    waiting_calls m_waiting { m_shares };
    // When the last call of a begun request came.
    std::chrono::steady_clock::time_point m_lastBegun;
    // First-in-first-out; only with the policy Hop.
    std::deque<waiting_call> m_line;
    shedding_cut m_cut { m_shares };
    shedding_order m_order;
    std::unordered_map<std::uint64_t, running_call> m_running;
    // Running calls by organisation_index.
    std::vector<std::uint32_t> m_runningOf;
    service_times m_leastTimes;
    duration_histogram m_durations;
    std::chrono::microseconds m_serviceTime { 0 };
    double m_drainRate = 0;
    // Refusals for overload of the last second or so.
    double m_recentRefusals = 0;
    window m_window;
    std::chrono::steady_clock::time_point m_lastAdvance;
    // Decided since the last release().
    std::vector<gate_release> m_released;
    admission_counters m_counters;
};

}
