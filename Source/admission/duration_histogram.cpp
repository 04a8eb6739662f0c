#include "admission/duration_histogram.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

namespace {

    constexpr double bucketsPerDoubling = 4;

    // With a lower total weight, a quantile would depend on a single call.
    constexpr double minWeight = 2;

}

void duration_histogram::add(std::chrono::microseconds duration)
{
    auto micros = std::max<double>(1, static_cast<double>(duration.count()));
    auto index = static_cast<std::size_t>(std::log2(micros) * bucketsPerDoubling);
    m_weights[std::min(index, bucketCount - 1)] += 1;
}

void duration_histogram::decay(double factor)
{
    for (auto& weight : m_weights) {
        weight *= static_cast<float>(factor);
    }
}

std::chrono::microseconds duration_histogram::quantile(double fraction) const
{
    double total = 0;
    for (auto weight : m_weights) {
        total += weight;
    }
    if (total < minWeight) {
        return {};
    }
    double below = 0;
    std::size_t index = 0;
    while (index < bucketCount - 1 && below + m_weights[index] < fraction * total) {
        below += m_weights[index];
        ++index;
    }
    return std::chrono::microseconds(std::llround(std::exp2((static_cast<double>(index) + 1) / bucketsPerDoubling)));
}

}
