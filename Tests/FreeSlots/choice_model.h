#pragma once

#include "node/routed_entry.h"
#include "node/routed_target.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace vanillashunt {

struct choice_model_plan {
    std::uint64_t seed = 1;
    std::size_t entries = 0;
    std::size_t targets = 0;
    std::uint32_t slots = 0;
    // Offered calls, as a part of what all slots together end.
    double load = 0;
    // Speeds of the servers in turn; a call at speed 1 takes the mean work.
    std::vector<double> speeds { 1 };
    std::chrono::microseconds meanWork { 0 };
    // Part of the servers that are slow at any time, how much longer work takes there
    // then, and for how long.
    double slowPart = 0;
    double slowFactor = 1;
    std::chrono::milliseconds slowFor { 600 };
    // Whether servers tell how long work takes now.
    bool tellsPace = false;
    // Whether targets are asked for a free slot before a call waits.
    bool asksForFreeSlots = true;
};

struct choice_model_result {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    // Sent to targets, those that refused for want of a free slot included.
    std::uint64_t attempts = 0;
    // Time from a call's arrival until it runs.
    std::chrono::duration<double> meanWait { 0 };
    // Part of the calls that ran more than 10 ms after they had come.
    double waitedPart = 0;
    // Time from a call's arrival to its answer: the mean, and what 0.99 of them need.
    std::chrono::duration<double> meanTime { 0 };
    std::chrono::duration<double> time99 { 0 };

    double answeredPart() const { return static_cast<double>(answered) / static_cast<double>(calls); }
};

// Entries and targets of one service in virtual time: their real decisions, servers that
// take random times, and messages that take a tenth of a millisecond. Two runs of one
// seed are the same.
class choice_model {
public:
    explicit choice_model(const choice_model_plan&);

    choice_model_result run(std::chrono::seconds length);

private:
    using time_point = std::chrono::steady_clock::time_point;

    struct timed_event {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> happens;

        bool operator<(const timed_event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void later(std::chrono::microseconds, std::function<void()>);
    void addEntry(const member_list&, const route_snapshot&);
    void addTarget(std::size_t which);
    void send(std::size_t entry, std::uint64_t attemptId, std::size_t target, call_request);
    void runAtServer(std::size_t target, std::uint64_t runId, const call_request&);
    void noteAnswer(const entry_answer&, time_point arrived);
    double slowdown(std::size_t target);
    void nextCall();
    void arrive();
    std::chrono::microseconds exponential(std::chrono::duration<double> mean);

    choice_model_plan m_plan;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::seconds(1000) };
    time_point m_end;
    std::priority_queue<timed_event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::vector<std::unique_ptr<routed_entry>> m_entries;
    std::vector<std::unique_ptr<routed_target>> m_targets;
    // By the number in the request's id.
    std::vector<time_point> m_arrived;
    std::uint64_t m_started = 0;
    std::uint64_t m_waited = 0;
    std::chrono::duration<double> m_waits { 0 };
    std::vector<double> m_times;
    // By target: how much longer work takes there now, and until when.
    struct slow_phase {
        double factor = 1;
        time_point until;
    };
    std::vector<slow_phase> m_phases;
    choice_model_result m_result;
};

}
