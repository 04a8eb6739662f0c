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

// Where the classes of requests stand in the shedding order beside each other. Among
// classes of one importance that press on the same narrowest service, those that
// hold its slots for longest are shed first, because the same slots answer more
// requests of the others. Only a part of each class goes first, and the rest is shed
// like the others, so that no kind of request is shut out.
class cost_order {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // A whole request of the class came.
    void arrived(const std::string& requestClass, importance, time_point now);

    // One was answered, and its chain told what it took.
    void served(const std::string& requestClass, const bottleneck_cost&);

    // The place of a request of the class whose hash alone would give it the other one.
    shedding_position place(const std::string& requestClass, shedding_position byHash) const;

private:
    struct class_entry {
        importance level = importance::Deferrable;
        std::string service;
        // Microseconds; 0 before the first answer that tells.
        double slotTime = 0;
        // Arrivals, the latest counting most.
        double arrivals = 0;
        // Part of the class that is shed before the rest of all, and the places of that
        // part; places go from 0 to 1.
        double firstShed = 0;
        double firstShedBegin = 0;
        double firstShedWidth = 0;
        // Where the places begin that the rest has together with its rivals.
        double sharedBegin = 0;
    };

    void divideAgain(time_point now);
    static void divide(std::vector<class_entry*>& rivals);

    std::unordered_map<std::string, class_entry> m_classes;
    time_point m_divided;
};

}
