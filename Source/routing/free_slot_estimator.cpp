#include "routing/free_slot_estimator.h"

namespace vanillashunt {

namespace {

    // Weight of one answer, so that some tens of answers determine how full a service is.
    constexpr double answerWeight = 0.05;

    // An answer loses half of its weight in this time, because surges begin and end within seconds.
    constexpr std::chrono::duration<double> halfLife { 1 };

    // If this share of the targets is full, at least one of three targets is free in two of three
    // cases. With 0.5, the share of answered calls at 0.85 of the capacity is lower by 0.05 (in the
    // model of the test FreeSlots).
    constexpr double maxFullShare = 0.7;

}

void free_slot_estimator::recordAnswer(const std::string& service, bool full, time_point now)
{
    m_fullShares.try_emplace(service, halfLife).first->second.add(full ? 1 : 0, answerWeight, now);
}

bool free_slot_estimator::isFreeSlotLikely(const std::string& service, time_point now) const
{
    auto found = m_fullShares.find(service);
    return found == m_fullShares.end() || found->second.get(now) < maxFullShare;
}

}
