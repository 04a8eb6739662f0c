#include "routing/relative_pace.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Weight of one answer in the mean, which is of all targets.
    constexpr double answerWeight = 0.02;
    // Bounds of what is believed: no two servers of a service differ by more.
    constexpr double fastest = 0.1;
    constexpr double slowest = 10;
    // Classes whose mean is kept; of others all targets count as alike.
    constexpr std::size_t mostClasses = 1024;

}

double relative_pace::learn(const std::string& requestClass, std::chrono::microseconds meanServiceTime)
{
    auto told = std::max(1.0, static_cast<double>(meanServiceTime.count()));
    auto found = m_means.find(requestClass);
    if (found == m_means.end()) {
        if (m_means.size() < mostClasses) {
            m_means.emplace(requestClass, told);
        }
        return 1;
    }
    auto& mean = found->second;
    mean += answerWeight * (told - mean);
    return std::clamp(told / mean, fastest, slowest);
}

}
