#pragma once

#include "decision/bottleneck_cost.h"
#include "decision/importance.h"
#include "decision/shedding_position.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Orders request classes within the shedding order by their cost. Among classes of one
// importance with the same bottleneck (narrowest service), those that hold its slots
// longest are shed first, because the same slots answer more requests of the others. Only a
// fraction of each costly class is shed first, and the rest is shed like the other classes,
// so that no class is refused altogether.
class cost_order {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Counts the arrival of a top-level request of the class.
    void arrived(const std::string& requestClass, importance, time_point now);

    // Records the cost of an answered request, as reported by its call chain.
    void served(const std::string& requestClass, const bottleneck_cost&);

    // The position of a request of the class, given the one that results from its hash.
    shedding_position adjustedPosition(const std::string& requestClass, shedding_position hashPosition) const;

private:
    struct class_entry {
        importance level = importance::Deferrable;
        std::string service;
        // Smoothed slot time per request in microseconds; 0 while unknown.
        double slotTime = 0;
        // Arrivals, with exponential decay.
        double arrivals = 0;
        // The fraction of the class that is shed before the rest of all classes, and the range
        // of its positions, which go from 0 to 1 within the importance.
        double firstShed = 0;
        double firstShedBegin = 0;
        double firstShedWidth = 0;
        // Where the range begins that the rest of all competing classes shares.
        double sharedBegin = 0;
    };

    void recomputeRanges(time_point now);
    static void assignRanges(std::vector<class_entry*>& competitors);

    std::unordered_map<std::string, class_entry> m_classes;
    time_point m_lastRecompute;
};

}
