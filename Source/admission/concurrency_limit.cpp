#include "admission/concurrency_limit.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds windowLength { 100 };
    // A window is closed when it holds this many calls for each call of the limit, at least.
    constexpr double callsPerLimit = 4;
    // More of them, where the decision is whether a trial helped.
    constexpr double callsPerTrial = 10;
    constexpr std::uint32_t leastCalls = 30;

    // A mean above this multiple of the baseline is slow.
    constexpr double slowRatio = 1.6;
    // The first slow window may be a mixture of before and after a change.
    constexpr int slowWindowsBeforeTrial = 2;
    constexpr double trialFactor = 0.75;
    // With fewer slots a trial takes away a large part of them, and what it
    // brings cannot be told from chance.
    constexpr std::uint32_t leastSlotsForTrial = 16;
    // Lowering the limit helped if the mean fell below this part of what it was.
    constexpr double helpedRatio = 0.92;
    constexpr double refusalFactor = 0.8;
    // Part of a window's calls above which refusals by the backend server count.
    constexpr double refusalShare = 0.02;
    // Latency alone never takes the limit below this part of the slots.
    constexpr double latencyFloor = 0.25;
    constexpr double raisePart = 1.0 / 16;
    constexpr double busyPart = 0.75;
    // Weight of a faster window; the baseline rises only by a trial that did not help.
    constexpr double baselineFall = 0.5;

    // Part of the slots that a server takes at the beginning of its cold start.
    constexpr double coldPart = 0.1;

}

void concurrency_limit::setSlots(std::uint32_t slots, std::chrono::milliseconds coldStart, std::chrono::steady_clock::time_point now)
{
    if (slots == m_slots) {
        m_coldStart = coldStart;
        return;
    }
    if (m_slots == 0) {
        m_announced = now;
        m_baseline = 0;
        m_beforeTrial = 0;
        m_slowWindows = 0;
        m_settling = 0;
        m_limit = slots;
        m_window = {};
    }
    // A server that announces more is believed, and one that announces less is too.
    m_limit = slots < m_slots ? std::min<double>(m_limit, slots) : std::max<double>(m_limit, slots);
    m_slots = slots;
    m_coldStart = coldStart;
}

double concurrency_limit::ramp(std::chrono::steady_clock::time_point now) const
{
    auto since = std::chrono::duration<double>(now - m_announced);
    auto whole = std::chrono::duration<double>(m_coldStart);
    if (since >= whole) {
        return 1;
    }
    return coldPart + (1 - coldPart) * (since / whole);
}

std::uint32_t concurrency_limit::get(std::chrono::steady_clock::time_point now) const
{
    if (m_slots == 0) {
        return 0;
    }
    auto limit = std::min(m_limit, ramp(now) * m_slots);
    if (!m_boundBySlots) {
        limit = m_limit;
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

void concurrency_limit::finished(std::chrono::microseconds duration, bool refused, std::uint32_t inFlight, std::chrono::steady_clock::time_point now)
{
    if (m_slots == 0) {
        return;
    }
    if (m_settling > 0) {
        --m_settling;
        return;
    }
    if (m_window.calls + m_window.refusals == 0) {
        m_window.end = now + windowLength;
    }
    m_window.busiest = std::max(m_window.busiest, inFlight);
    if (refused) {
        // A refusal says nothing of how long work takes.
        ++m_window.refusals;
    } else {
        ++m_window.calls;
        m_window.total += duration;
    }
    auto wanted = std::max<double>(leastCalls, (m_beforeTrial > 0 ? callsPerTrial : callsPerLimit) * m_limit);
    if (now >= m_window.end && m_window.calls + m_window.refusals >= wanted) {
        closeWindow(now);
    }
}

void concurrency_limit::closeWindow(std::chrono::steady_clock::time_point now)
{
    auto seen = m_window;
    m_window = {};
    // While the server is cold it is slow for a reason that passes.
    if (ramp(now) < 1) {
        return;
    }
    if (seen.refusals > refusalShare * (seen.calls + seen.refusals)) {
        m_beforeTrial = 0;
        lower(refusalFactor, 0);
        return;
    }
    bool busy = seen.busiest >= busyPart * m_limit;
    if (!busy || seen.calls == 0) {
        return;
    }
    judgeLatency(static_cast<double>(seen.total.count()) / seen.calls);
}

void concurrency_limit::judgeLatency(double mean)
{
    if (m_beforeTrial > 0) {
        bool helped = mean < helpedRatio * m_beforeTrial;
        m_beforeTrial = 0;
        if (!helped) {
            // The server is slow, but not because it queues: fewer calls would
            // only mean less work done.
            m_baseline = mean;
            m_limit = m_limitBeforeTrial;
            return;
        }
    }
    if (m_baseline == 0) {
        m_baseline = mean;
    }
    if (mean > slowRatio * m_baseline && m_slots >= leastSlotsForTrial) {
        ++m_slowWindows;
        if (m_slowWindows < slowWindowsBeforeTrial) {
            return;
        }
        m_slowWindows = 0;
        m_beforeTrial = mean;
        m_limitBeforeTrial = m_limit;
        lower(trialFactor, latencyFloor);
        return;
    }
    m_slowWindows = 0;
    m_baseline += baselineFall * std::min(0.0, mean - m_baseline);
    raise();
}

void concurrency_limit::lower(double factor, double floor)
{
    auto lowest = std::max(1.0, floor * m_slots);
    m_settling = static_cast<std::uint32_t>(m_limit);
    m_limit = std::max(std::min(m_limit, lowest), m_limit * factor);
}

void concurrency_limit::raise()
{
    m_limit += std::max(1.0, raisePart * m_slots);
    if (m_boundBySlots) {
        m_limit = std::min<double>(m_limit, m_slots);
    }
}

}
