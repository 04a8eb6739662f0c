#include "admission/queue_bounds.h"

#include <algorithm>
#include <chrono>

namespace vanillashunt {

namespace {

    // Maximum number of waiting calls per call of the limit; with more, answers would come
    // too late to be of use to the caller.
    constexpr std::size_t queueFactor = 6;
    // As many calls may wait as the backend server completes in this time.
    constexpr std::chrono::duration<double> queueTime { 0.05 };
    // The same for nested calls.
    constexpr std::chrono::duration<double> nestedQueueTime { 0.1 };
    // A slow server still needs some calls in its queue, or it would idle between them:
    // this many may wait, unless completing them takes longer than maxQueueTime.
    constexpr double minQueuedCalls = 12;
    constexpr std::chrono::duration<double> maxQueueTime { 0.2 };

}

std::size_t queueBound(std::uint32_t limit, double drainRate)
{
    auto maximum = queueFactor * limit;
    if (drainRate <= 0) {
        return maximum;
    }
    auto minimum = std::min(minQueuedCalls, drainRate * maxQueueTime.count());
    auto drained = static_cast<std::size_t>(std::max(minimum, drainRate * queueTime.count()));
    return std::clamp<std::size_t>(drained, std::max<std::size_t>(1, limit / 4), maximum);
}

std::size_t nestedQueueBound(std::uint32_t limit, double drainRate)
{
    auto maximum = queueFactor * limit;
    auto drained = static_cast<std::size_t>(std::max(minQueuedCalls, drainRate * nestedQueueTime.count()));
    return drainRate <= 0 ? maximum : std::min<std::size_t>(drained, maximum);
}

}
