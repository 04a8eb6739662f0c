#include "routing/relative_pace.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Weight of one answer in the mean over all targets.
    constexpr double answerWeight = 0.02;
    // Bounds of a plausible pace: no two servers of a service differ by more.
    constexpr double minPace = 0.1;
    constexpr double maxPace = 10;
    // Maximum number of classes with a mean. For other classes all targets count as equally fast.
    constexpr std::size_t maxClasses = 1024;

}

double relative_pace::learn(const std::string& requestClass, std::chrono::microseconds meanServiceTime)
{
    auto reportedTime = std::max(1.0, static_cast<double>(meanServiceTime.count()));
    auto found = m_means.find(requestClass);
    if (found == m_means.end()) {
        if (m_means.size() < maxClasses) {
            m_means.emplace(requestClass, reportedTime);
        }
        return 1;
    }
    auto& mean = found->second;
    mean += answerWeight * (reportedTime - mean);
    return std::clamp(reportedTime / mean, minPace, maxPace);
}

}
