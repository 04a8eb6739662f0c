#include "admission/queue_bounds.h"

#include <algorithm>
#include <chrono>

namespace vanillashunt {

namespace {

    // Waiting calls for each call of the limit, at most; more would wait longer
    // than the answer is of use to the caller.
    constexpr std::size_t queueFactor = 6;
    // What the backend server ends in this time may wait.
    constexpr std::chrono::duration<double> queueTime { 0.05 };
    // The same for calls of requests on which work has been done.
    constexpr std::chrono::duration<double> begunQueueTime { 0.1 };
    // A server that ends few calls needs some in its queue all the same, or it
    // idles between them: this many may wait, for as long as this at most.
    constexpr double fewCalls = 12;
    constexpr std::chrono::duration<double> longestQueueTime { 0.2 };

}

std::size_t queueBound(std::uint32_t limit, double drainRate)
{
    auto most = queueFactor * limit;
    if (drainRate <= 0) {
        return most;
    }
    auto few = std::min(fewCalls, drainRate * longestQueueTime.count());
    auto drained = static_cast<std::size_t>(std::max(few, drainRate * queueTime.count()));
    return std::clamp<std::size_t>(drained, std::max<std::size_t>(1, limit / 4), most);
}

std::size_t begunQueueBound(std::uint32_t limit, double drainRate)
{
    auto most = queueFactor * limit;
    auto drained = static_cast<std::size_t>(std::max(fewCalls, drainRate * begunQueueTime.count()));
    return drainRate <= 0 ? most : std::min<std::size_t>(drained, most);
}

}
