#pragma once

#include "decision/decaying_mean.h"
#include "decision/shedding_position.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace vanillashunt {

// What an attempt told of the member that it went to.
struct route_outcome {
    verdict result;
    std::chrono::microseconds latency { 0 };
    shedding_position cut = 0;
    // Calls at the member's backend server or waiting for it, and their limit.
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    // Calls below it that went to another availability zone.
    std::uint32_t zoneCrossings = 0;
    // How much longer than the mean a call takes there; nothing where it does not tell.
    std::optional<double> pace {};
};

// What this node has seen itself of one other member: its load, and whether it answers.
class target_view {
public:
    target_view();

    void started(std::chrono::steady_clock::time_point now);
    // The chance spreads the end of an avoidance over the nodes; it is in [0, 1).
    void finished(const route_outcome&, double chance, std::chrono::steady_clock::time_point now);
    void cancelled();

    // Whether it failed so recently that another member is to be preferred.
    bool avoided(std::chrono::steady_clock::time_point now) const { return now < m_avoidedUntil; }

    // Whether it owes answers and has sent none for so much longer than usual that
    // it is out of reach, or stands still.
    bool silent(std::chrono::steady_clock::time_point now) const;

    // Whether no connection to it came about lately, and one more is being tried: a
    // further call would only wait for the same end.
    bool outOfReach() const;

    // Part of its limit that is in use, and more where it loses answers, as far as this node knows; over 1 where
    // calls wait. Slots stand in for a limit that was never reported.
    double load(std::uint32_t slots, std::chrono::steady_clock::time_point now) const;

    // Calls that it runs at once, as far as this node knows.
    std::uint32_t limit(std::uint32_t slots) const;

    // How much longer than the mean a call takes there; nothing where it does not tell.
    std::optional<double> pace() const { return m_pace; }

    // Whether it told its load a moment ago, so that load() says how it is.
    bool toldLoadLately(std::chrono::steady_clock::time_point now) const;

    // How many calls to other zones follow from one call to it, usually. What was
    // reported long ago counts less, so that it is tried again.
    double zoneCrossings(std::chrono::steady_clock::time_point now) const { return m_zoneCrossings.get(now); }

    std::uint32_t outstanding() const { return m_outstanding; }

private:
    void failed(double chance, std::chrono::steady_clock::time_point now);
    void notePace(std::optional<double> told);
    void noteLoad(const route_outcome&, std::chrono::steady_clock::time_point now);

    std::uint32_t m_outstanding = 0;
    // Attempts in a row for which no connection came about.
    std::uint32_t m_unreachedInRow = 0;
    // Part of the attempts that brought no answer, the latest counting most.
    decaying_mean m_lost;
    std::uint32_t m_failuresInRow = 0;
    // Since when at least one answer is owed and none has come.
    std::chrono::steady_clock::time_point m_owesSince;
    // Usual time until an answer; zero before the first.
    std::chrono::duration<double> m_usualLatency { 0 };
    std::chrono::steady_clock::time_point m_avoidedUntil;
    // The last report, less this node's own calls at that time.
    double m_othersInFlight = 0;
    std::uint32_t m_limit = 0;
    std::optional<double> m_pace;
    std::chrono::steady_clock::time_point m_reported;
    decaying_mean m_zoneCrossings;
};

}
