#pragma once

#include "admission/duration_histogram.h"

#include <chrono>
#include <cstdint>

namespace vanillashunt {

// Limits how many calls the local backend server works on at once: to its announced
// slots, or to fewer while it is cold, refuses calls, or queues them internally.
class concurrency_limit {
public:
    // Sets the announced slots; 0 if none are announced any more. The cold start begins
    // when slots are announced for the first time or after there were none.
    void setSlots(std::uint32_t slots, std::chrono::milliseconds coldStart, std::chrono::steady_clock::time_point now);

    // Whether the announced slots bound the limit; only tests switch this off.
    void setBoundBySlots(bool bound) { m_boundBySlots = bound; }

    // Records the end of a call; inFlight counts the calls that ran until then, including
    // this one.
    void finished(std::chrono::microseconds duration, bool refused, std::uint32_t inFlight, std::chrono::steady_clock::time_point now);

    std::uint32_t get(std::chrono::steady_clock::time_point now) const;
    std::uint32_t slots() const { return m_slots; }

private:
    // Measurements of the current window.
    struct window {
        std::chrono::steady_clock::time_point end;
        std::uint32_t calls = 0;
        std::uint32_t refusals = 0;
        std::uint32_t maxInFlight = 0;
        std::chrono::microseconds total { 0 };
    };

    void closeWindow(std::chrono::steady_clock::time_point now);
    void evaluateLatency(double mean);
    void lower(double factor, double floor);
    void raise();
    double coldStartFraction(std::chrono::steady_clock::time_point now) const;

    std::uint32_t m_slots = 0;
    std::chrono::milliseconds m_coldStart { 0 };
    std::chrono::steady_clock::time_point m_announcedAt;
    bool m_boundBySlots = true;
    double m_limit = 0;
    // Mean duration, in microseconds, of calls that do not queue inside the server; 0 while
    // unknown.
    double m_baseline = 0;
    // Mean duration, in microseconds, before the limit was lowered on trial; 0 if no trial is
    // in progress.
    double m_beforeTrial = 0;
    double m_limitBeforeTrial = 0;
    int m_slowWindows = 0;
    // Calls still running that began before the limit was lowered; their durations do not
    // reflect the new limit and are ignored.
    std::uint32_t m_callsToIgnore = 0;
    window m_window;
};

}
