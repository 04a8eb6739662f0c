#include "routing/target_view.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

namespace {

    // Time for which a member is avoided after its first failure; doubled with each further failure
    // in a row.
    constexpr std::chrono::milliseconds initialAvoidance { 100 };
    constexpr std::chrono::milliseconds maxAvoidance { 3000 };
    constexpr std::uint32_t maxDoublings = 5;

    // A load report loses half of its weight in this time.
    constexpr std::chrono::milliseconds reportHalfLife { 200 };

    // Bounds of the time without an answer after which a member counts as unresponsive: well above
    // the delay of a lost packet or a busy machine, and well below the time that a request has.
    constexpr std::chrono::duration<double> minSilence { 0.25 };
    constexpr std::chrono::duration<double> maxSilence { 1.5 };
    // The time without an answer, in multiples of the mean interval between two answers.
    constexpr double silenceFactor = 6;
    constexpr double latencyWeight = 0.2;

    // Weight of one answer in the mean number of calls to other zones, and the time after which a
    // report counts for half.
    constexpr double crossingsWeight = 0.2;
    constexpr std::chrono::duration<double> crossingsHalfLife { 5 };

    // A member whose rate limit is used up is tried again by then, since the limit may have ended.
    constexpr std::chrono::milliseconds maxUsedUpTime { 5000 };

    // Weight of one answer in the pace. Each answer reports the pace for its own class of requests.
    constexpr double paceWeight = 0.3;

    // After this many failures to connect in a row, a target gets one attempt at a time.
    constexpr std::uint32_t connectFailuresBeforeProbing = 2;

    // Weight of an attempt's outcome in the share of lost answers, and the time after which it counts
    // for half. Without this decay, a target that is no longer used could not show that it has
    // recovered.
    constexpr double lossWeight = 0.1;
    constexpr std::chrono::duration<double> lossHalfLife { 2 };
    // A lost answer wastes its whole request. For a target that loses a fifth of its
    // answers, four fifths of its limit are added to its load, so that another target is preferred
    // while that one has free slots.
    constexpr double loadAtTotalLoss = 4;

    // Whether the member's server received the call and returned no result.
    bool isLost(verdict_reason reason)
    {
        return reason == verdict_reason::AnswerLost || reason == verdict_reason::AnswerTooLarge || reason == verdict_reason::BackendRefused;
    }

    // Whether an outcome shows that the member cannot serve calls, whatever its load.
    bool isFailure(verdict_reason reason)
    {
        switch (reason) {
        case verdict_reason::PeerUnreachable:
        case verdict_reason::BackendUnreachable:
        case verdict_reason::AnswerLost:
        case verdict_reason::AnswerTooLarge:
        case verdict_reason::NoMemory:
        case verdict_reason::NoBackendServer:
        case verdict_reason::Draining:
            return true;
        default:
            return false;
        }
    }

    double decay(std::chrono::steady_clock::duration age)
    {
        auto halfLives = std::chrono::duration<double>(age) / std::chrono::duration<double>(reportHalfLife);
        return std::exp2(-halfLives);
    }

}

target_view::target_view()
    : m_lossShare(lossHalfLife)
    , m_zoneCrossings(crossingsHalfLife)
{
}

void target_view::started(std::chrono::steady_clock::time_point now)
{
    if (m_outstanding == 0) {
        m_unansweredSince = now;
    }
    ++m_outstanding;
}

void target_view::cancelled()
{
    if (m_outstanding > 0) {
        --m_outstanding;
    }
}

void target_view::finished(const route_outcome& outcome, double randomFraction, std::chrono::steady_clock::time_point now)
{
    cancelled();
    m_lossShare.add(isLost(outcome.result.reason) ? 1 : 0, lossWeight, now);
    m_consecutiveConnectFailures = outcome.result.reason == verdict_reason::PeerUnreachable ? m_consecutiveConnectFailures + 1 : 0;
    if (isFailure(outcome.result.reason)) {
        recordFailure(randomFraction, now);
        return;
    }
    m_consecutiveFailures = 0;
    m_avoidedUntil = {};
    m_unansweredSince = now;
    bool isLatencyMeaningful = outcome.result.reason != verdict_reason::NoFreeSlot && outcome.result.reason != verdict_reason::Poison;
    if (isLatencyMeaningful) {
        m_meanLatency += latencyWeight * (outcome.latency - m_meanLatency);
    }
    m_isRateLimited = outcome.isRateLimited;
    m_usedUpUntil = outcome.isRateLimited ? now + std::min(outcome.result.retryAfter, maxUsedUpTime) : now;
    if (outcome.result.run == execution::Ran) {
        updatePace(outcome.pace);
        m_zoneCrossings.add(outcome.zoneCrossings, crossingsWeight, now);
    }
    recordReportedLoad(outcome, now);
}

bool target_view::isUnresponsive(std::chrono::steady_clock::time_point now) const
{
    if (m_outstanding == 0) {
        return false;
    }
    auto meanAnswerInterval = m_meanLatency / m_outstanding;
    auto lowerBound = m_meanLatency.count() > 0 ? std::max(minSilence, 2 * m_meanLatency) : maxSilence;
    auto maxUnansweredTime = std::clamp<std::chrono::duration<double>>(silenceFactor * meanAnswerInterval, std::min(lowerBound, maxSilence), maxSilence);
    return now - m_unansweredSince > maxUnansweredTime;
}

bool target_view::isUnreachable() const
{
    return m_consecutiveConnectFailures >= connectFailuresBeforeProbing && m_outstanding > 0;
}

void target_view::recordFailure(double randomFraction, std::chrono::steady_clock::time_point now)
{
    auto doublings = std::min(m_consecutiveFailures, maxDoublings);
    ++m_consecutiveFailures;
    auto fullAvoidance = std::min<std::chrono::milliseconds>(initialAvoidance * (1 << doublings), maxAvoidance);
    // Random between half and the whole period, so that the nodes do not return at the same time.
    auto avoidance = std::chrono::duration<double, std::milli>(fullAvoidance) * (0.5 + randomFraction / 2);
    m_avoidedUntil = now + std::chrono::duration_cast<std::chrono::microseconds>(avoidance);
}

// An answer without a pace discards the known pace: the target has another server, or its server
// hangs.
void target_view::updatePace(std::optional<double> reportedPace)
{
    if (!reportedPace || !m_pace) {
        m_pace = reportedPace;
        return;
    }
    *m_pace += paceWeight * (*reportedPace - *m_pace);
}

void target_view::forgetRateLimit()
{
    if (m_isRateLimited) {
        m_isRateLimited = false;
        m_usedUpUntil = {};
        m_limit = 0;
    }
}

std::uint32_t target_view::limit(std::uint32_t slots) const
{
    return m_limit != 0 ? m_limit : std::max(slots, 1U);
}

void target_view::recordReportedLoad(const route_outcome& outcome, std::chrono::steady_clock::time_point now)
{
    if (outcome.limit == 0) {
        return;
    }
    m_limit = outcome.limit;
    m_othersInFlight = std::max(0.0, static_cast<double>(outcome.inFlight) - m_outstanding);
    m_loadReportedAt = now;
}

bool target_view::hasRecentLoad(std::chrono::steady_clock::time_point now) const
{
    return m_limit != 0 && now - m_loadReportedAt < reportHalfLife;
}

double target_view::load(std::uint32_t slots, std::chrono::steady_clock::time_point now) const
{
    auto othersInFlight = m_limit != 0 ? m_othersInFlight * decay(now - m_loadReportedAt) : 0;
    auto load = (m_outstanding + othersInFlight) / limit(slots) + loadAtTotalLoss * m_lossShare.get(now);
    return now < m_usedUpUntil ? load + 1 : load;
}

}
