#pragma once

#include "decision/decaying_mean.h"

#include <chrono>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// How often the targets of each service were full lately, as their answers told: whether
// a call that meets a full one is likely to find a free slot at another.
class free_slot_estimator {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // A target of the service answered, and said whether calls fill its limit.
    void answered(const std::string& service, bool full, time_point now);

    // Whether one of a few targets that are asked is likely to have a free slot. Under an
    // overload of the whole service there is nobody to ask, and asking would cost the
    // processor of nodes that are full.
    bool isFreeSlotLikely(const std::string& service, time_point now) const;

private:
    // By service: part of the answers that told of a full target.
    std::unordered_map<std::string, decaying_mean> m_fullParts;
};

}
