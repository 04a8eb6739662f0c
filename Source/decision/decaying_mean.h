#pragma once

#include <chrono>

namespace vanillashunt {

// A mean of what was seen, the latest counting most, that fades to zero while nothing is
// seen: what holds of something that is not used cannot be confirmed.
class decaying_mean {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // What was seen this long ago counts for half.
    explicit decaying_mean(std::chrono::duration<double> halfLife)
        : m_halfLife(halfLife)
    {
    }

    double get(time_point now) const;

    // The weight is that of the sample among all before it, from 0 to 1.
    void add(double sample, double weight, time_point now);

private:
    std::chrono::duration<double> m_halfLife;
    double m_value = 0;
    time_point m_noted;
};

}
