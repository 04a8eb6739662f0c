#pragma once

#include "decision/decaying_mean.h"

#include <chrono>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// Estimates how often the targets of each service are full, from their recent answers. It tells
// whether a call that was refused by a full target is likely to find a free slot at another one.
class free_slot_estimator {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Takes in whether the calls at a target of the service fill its limit, as its answer reports.
    void recordAnswer(const std::string& service, bool full, time_point now);

    // Whether one of a few targets is likely to have a free slot. If the whole service is
    // overloaded, asking further targets has no use and costs processor time on full nodes.
    bool isFreeSlotLikely(const std::string& service, time_point now) const;

private:
    // Share of the answers that report a full target, by service.
    std::unordered_map<std::string, decaying_mean> m_fullShares;
};

}
