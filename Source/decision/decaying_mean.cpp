#include "decision/decaying_mean.h"

#include <cmath>

namespace vanillashunt {

double decaying_mean::get(time_point now) const
{
    return m_value * std::exp2(-std::chrono::duration<double>(now - m_updated) / m_halfLife);
}

void decaying_mean::add(double sample, double weight, time_point now)
{
    auto current = get(now);
    m_value = current + weight * (sample - current);
    m_updated = now;
}

}
