#pragma once

#include "decision/decaying_mean.h"
#include "decision/shedding_position.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace vanillashunt {

// The outcome of an attempt and the state that the member reported with it.
struct route_outcome {
    verdict result;
    std::chrono::microseconds latency { 0 };
    shedding_position cut = 0;
    // Calls at the member's backend server or waiting for it, and their limit.
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    // Calls to another availability zone that were made below the attempt.
    std::uint32_t zoneCrossings = 0;
    // Service time relative to the mean, 2 is twice as slow; nothing if the member does not report
    // it.
    std::optional<double> pace {};
    // Whether the member's backend server limits the requests per second.
    bool isRateLimited = false;
};

// What this node has observed itself of one other member: its load, and whether it answers.
class target_view {
public:
    target_view();

    void started(std::chrono::steady_clock::time_point now);
    // The random fraction in [0, 1) spreads the end of an avoidance period over the nodes.
    void finished(const route_outcome&, double randomFraction, std::chrono::steady_clock::time_point now);
    void cancelled();

    // Whether it failed so recently that other members are preferred.
    bool isAvoided(std::chrono::steady_clock::time_point now) const { return now < m_avoidedUntil; }

    // Whether calls are outstanding and no answer has come for so much longer than usual that the
    // member cannot be reached or hangs.
    bool isUnresponsive(std::chrono::steady_clock::time_point now) const;

    // Whether recent attempts to connect to it failed and another one is in progress. A further call
    // would only wait for the same result.
    bool isUnreachable() const;

    // Calls at the member divided by its limit, as far as this node knows, plus a surcharge if it
    // loses answers; above 1 if calls wait. The slots are used as the limit until one is reported.
    double load(std::uint32_t slots, std::chrono::steady_clock::time_point now) const;

    // Number of calls that it runs at once, as far as this node knows.
    std::uint32_t limit(std::uint32_t slots) const;

    // Service time relative to the mean; nothing if the member does not report it.
    std::optional<double> pace() const { return m_pace; }

    // Whether its backend server limits the requests per second, so that its limit may be far lower
    // than that of other members.
    bool isRateLimited() const { return m_isRateLimited; }

    // The member announces other slots than before: its rate limit has changed or ended.
    void forgetRateLimit();

    // Whether it reported its load recently, so that load() is up to date.
    bool hasRecentLoad(std::chrono::steady_clock::time_point now) const;

    // Mean number of calls to other zones that follow from one call to it. Old reports count less,
    // so that the member is tried again.
    double zoneCrossings(std::chrono::steady_clock::time_point now) const { return m_zoneCrossings.get(now); }

    std::uint32_t outstanding() const { return m_outstanding; }

private:
    void recordFailure(double randomFraction, std::chrono::steady_clock::time_point now);
    void updatePace(std::optional<double> reportedPace);
    void recordReportedLoad(const route_outcome&, std::chrono::steady_clock::time_point now);

    std::uint32_t m_outstanding = 0;
    // Consecutive attempts that failed to connect.
    std::uint32_t m_consecutiveConnectFailures = 0;
    // Share of the attempts whose answer was lost; recent attempts count most.
    decaying_mean m_lossShare;
    std::uint32_t m_consecutiveFailures = 0;
    // Time since which at least one call is outstanding and no answer has come.
    std::chrono::steady_clock::time_point m_unansweredSince;
    // Mean time until an answer; zero before the first one.
    std::chrono::duration<double> m_meanLatency { 0 };
    std::chrono::steady_clock::time_point m_avoidedUntil;
    // Calls in the last load report, minus this node's own calls at that time.
    double m_othersInFlight = 0;
    std::uint32_t m_limit = 0;
    std::optional<double> m_pace;
    bool m_isRateLimited = false;
    // Until then its rate limit is likely to be used up.
    std::chrono::steady_clock::time_point m_usedUpUntil;
    std::chrono::steady_clock::time_point m_loadReportedAt;
    decaying_mean m_zoneCrossings;
};

}
