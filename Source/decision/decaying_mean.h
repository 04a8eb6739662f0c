#pragma once

#include <chrono>

namespace vanillashunt {

// An exponentially weighted mean of samples that decays to zero while there are no new
// samples, because an old value can no longer be confirmed.
class decaying_mean {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The value halves in this time if no sample is added.
    explicit decaying_mean(std::chrono::duration<double> halfLife)
        : m_halfLife(halfLife)
    {
    }

    double get(time_point now) const;

    // The weight of the sample against the mean of all earlier ones, from 0 to 1.
    void add(double sample, double weight, time_point now);

private:
    std::chrono::duration<double> m_halfLife;
    double m_value = 0;
    time_point m_updated;
};

}
