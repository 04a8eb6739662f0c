#pragma once

#include "admission/admission_policy.h"
#include "admission/concurrency_limit.h"
#include "admission/duration_histogram.h"
#include "admission/min_service_times.h"
#include "admission/organisation_shares.h"
#include "admission/rate_limiter.h"
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
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// A call that is to run at the local backend server.
struct admission_request {
    std::uint64_t callId = 0;
    shedding_position position = 0;
    std::string organisation;
    std::chrono::steady_clock::time_point deadline;
    // The request class of the contract; service times are measured by class.
    std::string requestClass;
    // Whether this is a nested call: part of a request on which work has already been
    // done, as opposed to a top-level request. The cut does not refuse nested calls.
    // They wait ahead of top-level requests that the cut does not admit, and in the
    // order of their positions among the admitted ones.
    bool nested = false;
};

enum class admission_outcome {
    Run,
    Wait,
    Refuse,
};

struct admission_decision {
    admission_outcome outcome = admission_outcome::Run;
    // The reason and the advised retry delay; set only with Refuse.
    verdict refusal;
};

// The outcome of a call that ran, as observed by the node.
struct service_outcome {
    std::chrono::microseconds duration { 0 };
    // Whether the backend server refused the call because of overload.
    bool refused = false;
};

// A waiting call that starts now (Run) or is given up (Refuse).
struct gate_release {
    std::uint64_t callId = 0;
    admission_decision decision;
};

// The rules that a gate enforces. Nodes enforce all of them. Tests switch one off to
// prove that they detect its violation.
struct admission_rules {
    // Confirmed requests are shed only after all less important ones.
    bool shedConfirmedLast = true;
    // The limit never exceeds the announced slots.
    bool boundBySlots = true;
    // A call that is evicted from the queue gets a refusal.
    bool answerEvicted = true;
    // An organisation may use capacity that the others leave unused.
    bool lendUnusedShares = true;
    // The cut falls again after an overload.
    bool cutMayFall = true;
};

struct admission_settings {
    admission_policy policy = admission_policy::Full;
    admission_rules rules;
    // Returns a random number below its argument; without it, retry delays have no jitter.
    std::function<std::uint64_t(std::uint64_t bound)> randomBelow;
};

// Calls since the gate was created, for the dump and the metrics.
struct admission_counters {
    std::uint64_t admitted = 0;
    std::uint64_t evicted = 0;
    // Indexed by importance.
    std::array<std::uint64_t, importanceCount> shed {};
    // Indexed by verdict_reason.
    std::array<std::uint64_t, verdictReasonCount> refused {};
};

// Admission control for the local backend server: decides which calls run, which wait
// and which are refused. It combines a concurrency limit, a queue ordered by importance
// and a cut, the lowest shedding position that is admitted; top-level requests below the
// cut are refused at once.
class admission_gate {
public:
    explicit admission_gate(admission_settings = {});

    // Members hold references to each other.
    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;

    // Sets the slots that the backend server announces; 0 for none. The limit never
    // exceeds them, and ramps up during the cold start.
    void setSlots(std::uint32_t slots, std::chrono::steady_clock::time_point now);
    void setSlots(std::uint32_t slots, std::chrono::milliseconds coldStart, std::chrono::steady_clock::time_point now);

    // Sets how many calls per second may start; nothing for no limit. Calls that may not start yet
    // are treated as if no slot were free.
    void setRateLimit(std::optional<double> callsPerSecond, std::chrono::steady_clock::time_point now);

    // Each organisation's share of the backend server under overload.
    void setShares(const std::map<std::string, double>& shares) { m_shares.setShares(shares); }

    // Decides on a new call. A call that waits is started or refused by a later
    // release(). A new call may evict a waiting one, so release() must be called
    // afterwards.
    admission_decision arrive(const admission_request&, std::chrono::steady_clock::time_point now);

    // Ends a call that ran, and records its outcome.
    void finish(std::uint64_t callId, const service_outcome&, std::chrono::steady_clock::time_point now);

    // Ends a waiting or running call whose answer is no longer needed.
    void cancel(std::uint64_t callId, std::chrono::steady_clock::time_point now);

    // Returns the waiting calls that start or are refused now. Must be called after
    // arrive, finish, cancel and setSlots, and on each clock tick.
    std::vector<gate_release> release(std::chrono::steady_clock::time_point now);

    // Whether a call that arrives now would start without waiting.
    bool hasFreeSlot(std::chrono::steady_clock::time_point now);

    // Refuses a call that would have to wait and whose sender tries other servers first. The advised
    // delay is that before the next call of this sender is likely to start here; zero if it is not known.
    verdict refuseWithoutFreeSlot();

    // The lowest shedding position that is admitted now, for all organisations together.
    shedding_position cut() const { return m_cut.get(); }
    // The same for one organisation.
    shedding_position cutFor(const std::string& organisation) const;
    // Calls that may run at once. With a rate limit, no more than the calls that it keeps running.
    std::uint32_t limit() const;
    std::uint32_t slots() const { return m_limit.slots(); }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t waiting() const { return m_waiting.size() + m_fifo.size(); }
    std::size_t waiting(importance level) const { return m_waiting.sizeOf(level); }
    // Calls per second that the backend server completes: as measured under load, or its rate limit if
    // that is lower. 0 if neither is known.
    double drainRate() const;
    bool isRateLimited() const { return m_rateLimiter.isLimited(); }
    // The median of the measured service times; zero while unknown.
    std::chrono::microseconds serviceTime() const { return m_serviceTime; }
    const admission_counters& counters() const { return m_counters; }

private:
    struct running_call {
        organisation_index organisation = 0;
        class_index requestClass = 0;
    };

    // Measurements of the current window.
    struct window {
        std::chrono::steady_clock::time_point start;
        // Calls that ended, and those of them that ended while no slot was free.
        std::uint32_t finished = 0;
        std::uint32_t finishedWhileFull = 0;
        // Time during which no slot was free.
        std::chrono::duration<double> fullTime { 0 };
        // Minimum number of calls that waited at any moment; 0 if a slot was free.
        std::size_t minWaiting = 0;
        bool refusedForCapacity = false;
    };

    admission_decision arriveHop(const waiting_call&);
    admission_decision arriveFull(const waiting_call&, std::chrono::steady_clock::time_point now);
    admission_decision arriveAmongNested(waiting_call, std::chrono::steady_clock::time_point now);
    admission_decision enqueue(const waiting_call&, std::chrono::steady_clock::time_point now);
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
    void startFifo(std::chrono::steady_clock::time_point now);
    std::chrono::milliseconds retryAfter() const;
    void advance(std::chrono::steady_clock::time_point now);
    bool hasSlot() const { return m_running.size() < m_limitNow; }
    bool slotFree() const { return hasSlot() && m_rateLimiter.hasToken(); }
    std::size_t nestedBound() const;
    void recordNoCapacity();
    void updateDrainRate(const window&, std::chrono::duration<double> length);
    void closeWindow(std::chrono::steady_clock::time_point now);

    admission_settings m_settings;
    concurrency_limit m_limit;
    std::uint32_t m_limitNow = 0;
    rate_limiter m_rateLimiter;
    organisation_shares m_shares;
    waiting_calls m_waiting { m_shares };
    // When the last nested call arrived.
    std::chrono::steady_clock::time_point m_lastNestedArrival;
    // The queue of the policy Hop; unused by the others.
    std::deque<waiting_call> m_fifo;
    shedding_cut m_cut { m_shares };
    shedding_order m_order;
    std::unordered_map<std::uint64_t, running_call> m_running;
    // Running calls by organisation_index.
    std::vector<std::uint32_t> m_runningByOrganisation;
    min_service_times m_minServiceTimes;
    duration_histogram m_durations;
    std::chrono::microseconds m_serviceTime { 0 };
    double m_drainRate = 0;
    // Recent refusals for overload, decaying with refusalDecayTime.
    double m_recentRefusals = 0;
    window m_window;
    std::chrono::steady_clock::time_point m_lastAdvance;
    // Decisions since the last release().
    std::vector<gate_release> m_released;
    admission_counters m_counters;
};

}
