#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace vanillashunt {

// What a backend server says of its load: the truth, a late truth or a lie.
class load_report {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit load_report(std::uint64_t slots)
        : m_slots(slots)
    {
    }

    // "zero", "full", or empty for the truth.
    void setLie(const std::string& lie) { m_lie = lie; }
    void setLag(std::chrono::microseconds lag) { m_lag = lag; }

    // Notes the true number of requests in flight.
    void record(std::uint64_t inFlight, time_point now);

    // The number that is reported.
    std::uint64_t reported(time_point now) const;

private:
    struct sample {
        time_point time;
        std::uint64_t inFlight = 0;
    };

    std::uint64_t m_slots;
    std::string m_lie;
    std::chrono::microseconds m_lag { 0 };
    std::deque<sample> m_samples;
};

}
