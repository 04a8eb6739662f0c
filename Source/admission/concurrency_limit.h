#pragma once

#include "admission/duration_histogram.h"

#include <chrono>
#include <cstdint>

namespace vanillashunt {

// How many calls the own backend server may work on at once: its announced
// slots, or fewer where it is cold, refuses, or only queues what it is given.
class concurrency_limit {
public:
    // Cold start lasts from the time at which slots were first announced. No
    // slots: nothing is announced any more.
    void setSlots(std::uint32_t slots, std::chrono::milliseconds coldStart, std::chrono::steady_clock::time_point now);

    // Without this the limit grows past the announced slots; only tests switch it off.
    void setBoundBySlots(bool bound) { m_boundBySlots = bound; }

    // A call ended that ran among inFlight others, itself counted.
    void finished(std::chrono::microseconds duration, bool refused, std::uint32_t inFlight, std::chrono::steady_clock::time_point now);

    std::uint32_t get(std::chrono::steady_clock::time_point now) const;
    std::uint32_t slots() const { return m_slots; }

private:
    // What the calls of the present window told.
    struct window {
        std::chrono::steady_clock::time_point end;
        std::uint32_t calls = 0;
        std::uint32_t refusals = 0;
        std::uint32_t busiest = 0;
        std::chrono::microseconds total { 0 };
    };

    void closeWindow(std::chrono::steady_clock::time_point now);
    void judgeLatency(double mean);
    void lower(double factor, double floor);
    void raise();
    double ramp(std::chrono::steady_clock::time_point now) const;

    std::uint32_t m_slots = 0;
    std::chrono::milliseconds m_coldStart { 0 };
    std::chrono::steady_clock::time_point m_announced;
    bool m_boundBySlots = true;
    double m_limit = 0;
    // Mean duration, in microseconds, of calls that do not queue inside; 0 before any is known.
    double m_baseline = 0;
    // The mean duration before the limit was lowered to see whether it helps; 0 for no trial.
    double m_beforeTrial = 0;
    double m_limitBeforeTrial = 0;
    int m_slowWindows = 0;
    // Calls still to end that began before the limit was lowered; they tell nothing of it.
    std::uint32_t m_settling = 0;
    window m_window;
};

}
