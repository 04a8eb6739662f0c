#pragma once

#include "node/routed_entry.h"
#include "node/routed_target.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace vanillashunt {

struct balancing_simulation_plan {
    std::uint64_t seed = 1;
    std::size_t entries = 0;
    std::size_t targets = 0;
    std::uint32_t slots = 0;
    // Offered calls, as a fraction of the capacity of all slots together.
    double load = 0;
    // Speeds, assigned to the servers in turn; at speed 1 a call takes meanWork on average.
    std::vector<double> speeds { 1 };
    std::chrono::microseconds meanWork { 0 };
    // Fraction of the servers that are slow at any time, the factor by which calls take longer
    // there, and the length of a slow phase.
    double slowFraction = 0;
    double slowFactor = 1;
    std::chrono::milliseconds slowFor { 600 };
    // Whether servers report their current slowdown.
    bool reportsSpeed = false;
    // Whether targets are asked to refuse a call that would have to wait.
    bool probesForFreeSlots = true;
    // Requests per second that the servers name in their answers, assigned in turn; 0 for none.
    std::vector<double> rateLimits { 0 };
    // Whether entries tell a target's node what they know of its server.
    bool relaysNotices = true;
    // Whether a target's node is restarted every so often, each in turn; zero for never.
    std::chrono::milliseconds restartInterval { 0 };
};

struct balancing_simulation_result {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    // Calls sent to targets, including those refused for lack of a free slot.
    std::uint64_t attempts = 0;
    // Time from the arrival of a call until it runs.
    std::chrono::duration<double> meanWait { 0 };
    // Fraction of the started calls that waited for more than 10 ms.
    double longWaitFraction = 0;
    // Time from the arrival of a call to its answer: mean and 0.99 quantile.
    std::chrono::duration<double> meanLatency { 0 };
    std::chrono::duration<double> latency99 { 0 };

    // Refused calls, and the mean delay after which they were told to retry.
    std::uint64_t refused = 0;
    std::chrono::duration<double> meanRetryDelay { 0 };
    // Calls that started at each server, from entries that had passed on an answer with its rate
    // limit half a second before or earlier, and all calls that started there.
    std::vector<std::vector<std::chrono::steady_clock::time_point>> boundStarts;
    std::vector<std::uint64_t> starts;

    double answeredFraction() const { return static_cast<double>(answered) / static_cast<double>(calls); }
};

// A discrete-event simulation of the entries and targets of one service. The entries and targets
// are the real ones; service times are exponentially distributed, and a message takes a tenth of
// a millisecond. The result depends on the plan alone.
class balancing_simulation {
public:
    explicit balancing_simulation(const balancing_simulation_plan&);

    balancing_simulation_result run(std::chrono::seconds length);

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct timed_event {
        time_point time;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const timed_event& other) const { return time != other.time ? time > other.time : number > other.number; }
    };

    void schedule(std::chrono::microseconds, std::function<void()>);
    void addEntry(const member_list&, const route_snapshot&);
    void addTarget(std::size_t index);
    void send(std::size_t entry, std::uint64_t attemptId, std::size_t target, call_request);
    void runAtServer(std::size_t target, std::uint64_t runId, const call_request&);
    void recordAnswer(const entry_answer&, time_point arrived);
    double slowdown(std::size_t target);
    std::unique_ptr<routed_target> makeTarget(std::size_t index);
    void restartNextTarget();
    void nextCall();
    void arrive();
    std::chrono::microseconds exponential(std::chrono::duration<double> mean);

    balancing_simulation_plan m_plan;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::seconds(1000) };
    time_point m_end;
    std::priority_queue<timed_event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::vector<std::unique_ptr<routed_entry>> m_entries;
    std::vector<std::unique_ptr<routed_target>> m_targets;
    // Arrival times, indexed by request id.
    std::vector<time_point> m_arrivals;
    std::uint64_t m_startedCalls = 0;
    std::uint64_t m_longWaits = 0;
    std::chrono::duration<double> m_totalWait { 0 };
    std::vector<double> m_latencies;
    // The current phase of a target: the factor by which calls take longer, and its end.
    struct slow_phase {
        double factor = 1;
        time_point until;
    };
    std::vector<slow_phase> m_slowPhases;
    std::size_t m_nextRestart = 0;
    // Processes of each target so far, and the attempts that its current one has not answered.
    std::vector<std::size_t> m_processes;
    std::vector<std::set<std::pair<std::size_t, std::uint64_t>>> m_unanswered;
    // When an entry first passed on an answer with the rate limit of a target; by entry and target.
    std::vector<std::vector<time_point>> m_told;
    balancing_simulation_result m_result;
};

}
