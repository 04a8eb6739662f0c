#include "routing/target_view.h"

#include <algorithm>
#include <cmath>

namespace vanillashunt {

namespace {

    // How long a member is avoided after its first failure in a row; doubled with
    // each further one.
    constexpr std::chrono::milliseconds firstAvoidance { 100 };
    constexpr std::chrono::milliseconds longestAvoidance { 3000 };
    constexpr std::uint32_t mostDoublings = 5;

    // A report of load loses half of its weight in this time.
    constexpr std::chrono::milliseconds reportHalfLife { 200 };

    // Bounds of a silence that is taken for one: well above what a lost packet or a
    // busy machine costs, and well below the time that a request has.
    constexpr std::chrono::duration<double> shortestSilence { 0.25 };
    constexpr std::chrono::duration<double> longestSilence { 1.5 };
    // So many times the usual pause between two answers.
    constexpr double silentPauses = 6;
    constexpr double latencyWeight = 0.2;

    // Weight of one answer in the calls to other zones that follow from it, and the time
    // after which what was reported counts for half.
    constexpr double crossingsWeight = 0.2;
    constexpr std::chrono::duration<double> crossingsHalfLife { 5 };

    // Weight of one answer in the pace, which each tells for its own class of requests.
    constexpr double paceWeight = 0.3;

    // From so many on, a target without a connection gets one attempt at a time.
    constexpr std::uint32_t unreachedBeforeProbing = 2;

    // Weight of an attempt's outcome in the part that is lost, and the time after
    // which it counts for half: a target that is not used could not show that it is well.
    constexpr double lostWeight = 0.1;
    constexpr std::chrono::duration<double> lostHalfLife { 2 };
    // A lost answer costs its whole request. A target that loses a fifth of them is
    // taken for four fifths fuller than it is, so that another is preferred while it has room.
    constexpr double loadOfLosingAll = 4;

    // Whether the member's server got the call and gave nothing back for it.
    bool isLost(verdict_reason reason)
    {
        return reason == verdict_reason::AnswerLost || reason == verdict_reason::BackendRefused;
    }

    // Whether an outcome says that the member cannot serve, whatever its load.
    bool isFailure(verdict_reason reason)
    {
        switch (reason) {
        case verdict_reason::PeerUnreachable:
        case verdict_reason::BackendUnreachable:
        case verdict_reason::AnswerLost:
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
    : m_lost(lostHalfLife)
    , m_zoneCrossings(crossingsHalfLife)
{
}

void target_view::started(std::chrono::steady_clock::time_point now)
{
    if (m_outstanding == 0) {
        m_owesSince = now;
    }
    ++m_outstanding;
}

void target_view::cancelled()
{
    if (m_outstanding > 0) {
        --m_outstanding;
    }
}

void target_view::finished(const route_outcome& outcome, double chance, std::chrono::steady_clock::time_point now)
{
    cancelled();
    m_lost.add(isLost(outcome.result.reason) ? 1 : 0, lostWeight, now);
    m_unreachedInRow = outcome.result.reason == verdict_reason::PeerUnreachable ? m_unreachedInRow + 1 : 0;
    if (isFailure(outcome.result.reason)) {
        failed(chance, now);
        return;
    }
    m_failuresInRow = 0;
    m_avoidedUntil = {};
    m_owesSince = now;
    bool hasWaited = outcome.result.reason != verdict_reason::NoFreeSlot && outcome.result.reason != verdict_reason::Poison;
    if (hasWaited) {
        m_usualLatency += latencyWeight * (outcome.latency - m_usualLatency);
    }
    if (outcome.result.run == execution::Ran) {
        notePace(outcome.pace);
        m_zoneCrossings.add(outcome.zoneCrossings, crossingsWeight, now);
    }
    noteLoad(outcome, now);
}

bool target_view::silent(std::chrono::steady_clock::time_point now) const
{
    if (m_outstanding == 0) {
        return false;
    }
    auto usualPause = m_usualLatency / m_outstanding;
    auto shortest = m_usualLatency.count() > 0 ? std::max(shortestSilence, 2 * m_usualLatency) : longestSilence;
    auto bound = std::clamp<std::chrono::duration<double>>(silentPauses * usualPause, std::min(shortest, longestSilence), longestSilence);
    return now - m_owesSince > bound;
}

bool target_view::outOfReach() const
{
    return m_unreachedInRow >= unreachedBeforeProbing && m_outstanding > 0;
}

void target_view::failed(double chance, std::chrono::steady_clock::time_point now)
{
    auto doublings = std::min(m_failuresInRow, mostDoublings);
    ++m_failuresInRow;
    auto longest = std::min<std::chrono::milliseconds>(firstAvoidance * (1 << doublings), longestAvoidance);
    // Between half and the whole of it, so that the nodes do not return together.
    auto length = std::chrono::duration<double, std::milli>(longest) * (0.5 + chance / 2);
    m_avoidedUntil = now + std::chrono::duration_cast<std::chrono::microseconds>(length);
}

// A target that has stopped telling has another server, or one that stands still.
void target_view::notePace(std::optional<double> told)
{
    if (!told || !m_pace) {
        m_pace = told;
        return;
    }
    *m_pace += paceWeight * (*told - *m_pace);
}

std::uint32_t target_view::limit(std::uint32_t slots) const
{
    return m_limit != 0 ? m_limit : std::max(slots, 1U);
}

void target_view::noteLoad(const route_outcome& outcome, std::chrono::steady_clock::time_point now)
{
    if (outcome.limit == 0) {
        return;
    }
    m_limit = outcome.limit;
    m_othersInFlight = std::max(0.0, static_cast<double>(outcome.inFlight) - m_outstanding);
    m_reported = now;
}

bool target_view::toldLoadLately(std::chrono::steady_clock::time_point now) const
{
    return m_limit != 0 && now - m_reported < reportHalfLife;
}

double target_view::load(std::uint32_t slots, std::chrono::steady_clock::time_point now) const
{
    auto others = m_limit != 0 ? m_othersInFlight * decay(now - m_reported) : 0;
    return (m_outstanding + others) / limit(slots) + loadOfLosingAll * m_lost.get(now);
}

}
