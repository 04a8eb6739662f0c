#include "admission/concurrency_limit.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds windowLength { 100 };
    // Minimum number of calls in a window, as a multiple of the limit.
    constexpr double callsPerLimit = 4;
    // The same during a trial: deciding whether it helped takes more calls.
    constexpr double callsPerTrial = 10;
    constexpr std::uint32_t minCallsPerWindow = 30;

    // A window is slow if its mean duration exceeds this multiple of the baseline.
    constexpr double slowRatio = 1.6;
    // The first slow window may mix durations from before and after a change.
    constexpr int slowWindowsBeforeTrial = 2;
    constexpr double trialFactor = 0.75;
    // With fewer slots a trial removes a large part of them, and its effect cannot be
    // told from random variation.
    constexpr std::uint32_t minSlotsForTrial = 16;
    // A trial helped if the mean duration fell below this fraction of the one before.
    constexpr double helpedRatio = 0.92;
    constexpr double refusalFactor = 0.8;
    // Fraction of a window's calls above which refusals by the backend server lower the limit.
    constexpr double maxRefusalFraction = 0.02;
    // Latency alone never lowers the limit below this fraction of the slots.
    constexpr double latencyFloor = 0.25;
    constexpr double raiseFraction = 1.0 / 16;
    constexpr double busyFraction = 0.75;
    // Weight of a faster window in the baseline. Only a trial that did not help raises the
    // baseline.
    constexpr double fasterWindowWeight = 0.5;

    // Fraction of the slots in use at the beginning of a cold start.
    constexpr double initialColdFraction = 0.1;

}

void concurrency_limit::setSlots(std::uint32_t slots, std::chrono::milliseconds coldStart, std::chrono::steady_clock::time_point now)
{
    if (slots == m_slots) {
        m_coldStart = coldStart;
        return;
    }
    if (m_slots == 0) {
        m_announcedAt = now;
        m_baseline = 0;
        m_beforeTrial = 0;
        m_slowWindows = 0;
        m_callsToIgnore = 0;
        m_limit = slots;
        m_window = {};
    }
    // A change of the announced slots takes effect at once, upwards and downwards.
    m_limit = slots < m_slots ? std::min<double>(m_limit, slots) : std::max<double>(m_limit, slots);
    m_slots = slots;
    m_coldStart = coldStart;
}

double concurrency_limit::coldStartFraction(std::chrono::steady_clock::time_point now) const
{
    auto elapsed = std::chrono::duration<double>(now - m_announcedAt);
    auto rampTime = std::chrono::duration<double>(m_coldStart);
    if (elapsed >= rampTime) {
        return 1;
    }
    return initialColdFraction + (1 - initialColdFraction) * (elapsed / rampTime);
}

std::uint32_t concurrency_limit::get(std::chrono::steady_clock::time_point now) const
{
    if (m_slots == 0) {
        return 0;
    }
    auto limit = std::min(m_limit, coldStartFraction(now) * m_slots);
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
    if (m_callsToIgnore > 0) {
        --m_callsToIgnore;
        return;
    }
    if (m_window.calls + m_window.refusals == 0) {
        m_window.end = now + windowLength;
    }
    m_window.maxInFlight = std::max(m_window.maxInFlight, inFlight);
    if (refused) {
        // A refusal says nothing about the duration of work.
        ++m_window.refusals;
    } else {
        ++m_window.calls;
        m_window.total += duration;
    }
    auto required = std::max<double>(minCallsPerWindow, (m_beforeTrial > 0 ? callsPerTrial : callsPerLimit) * m_limit);
    if (now >= m_window.end && m_window.calls + m_window.refusals >= required) {
        closeWindow(now);
    }
}

void concurrency_limit::closeWindow(std::chrono::steady_clock::time_point now)
{
    auto closed = m_window;
    m_window = {};
    // A server is expected to be slow during its cold start, so its durations are ignored.
    if (coldStartFraction(now) < 1) {
        return;
    }
    if (closed.refusals > maxRefusalFraction * (closed.calls + closed.refusals)) {
        m_beforeTrial = 0;
        lower(refusalFactor, 0);
        return;
    }
    bool busy = closed.maxInFlight >= busyFraction * m_limit;
    if (!busy || closed.calls == 0) {
        return;
    }
    evaluateLatency(static_cast<double>(closed.total.count()) / closed.calls);
}

void concurrency_limit::evaluateLatency(double mean)
{
    if (m_beforeTrial > 0) {
        bool helped = mean < helpedRatio * m_beforeTrial;
        m_beforeTrial = 0;
        if (!helped) {
            // The server is slow, but not because calls queue inside it: a lower
            // limit would only reduce the throughput.
            m_baseline = mean;
            m_limit = m_limitBeforeTrial;
            return;
        }
    }
    if (m_baseline == 0) {
        m_baseline = mean;
    }
    if (mean > slowRatio * m_baseline && m_slots >= minSlotsForTrial) {
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
    m_baseline += fasterWindowWeight * std::min(0.0, mean - m_baseline);
    raise();
}

void concurrency_limit::lower(double factor, double floor)
{
    auto lowest = std::max(1.0, floor * m_slots);
    m_callsToIgnore = static_cast<std::uint32_t>(m_limit);
    m_limit = std::max(std::min(m_limit, lowest), m_limit * factor);
}

void concurrency_limit::raise()
{
    m_limit += std::max(1.0, raiseFraction * m_slots);
    if (m_boundBySlots) {
        m_limit = std::min<double>(m_limit, m_slots);
    }
}

}
