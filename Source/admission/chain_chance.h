#pragma once

#include "decision/fading_mean.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// How many calls of each class one run has made.
using call_counts = std::unordered_map<std::string, std::uint32_t>;

// The chance that a call which runs at the own backend server ends well, with all the calls
// that it makes. It answers servers that refuse or fail at random, and services that
// nobody can reach: both fail a request of many calls nearly always.
class chain_chance {
public:
    using time_point = std::chrono::steady_clock::time_point;

    chain_chance();

    // The own server has ended a run; it failed if it refused or lost it, or failed though all
    // of its calls ended well.
    void ended(bool failed, time_point now);

    // A call that the own server made has ended, with the chance that its target told; 0 where
    // nobody could run it.
    void called(const std::string& calledClass, double chance, time_point now);

    // A run of the class ended well, and has made these calls.
    void succeeded(const std::string& runClass, const call_counts&);

    double get(const std::string& runClass, time_point now) const;

private:
    // Part of the runs that the own server fails.
    fading_mean m_failed;
    // By class of the calls: minus the logarithm of their chance.
    std::unordered_map<std::string, fading_mean> m_called;
    // By class of the runs: the mean number of calls of each class.
    std::unordered_map<std::string, std::unordered_map<std::string, double>> m_counts;
};

}
