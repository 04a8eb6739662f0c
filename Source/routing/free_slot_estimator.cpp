#include "routing/free_slot_estimator.h"

namespace vanillashunt {

namespace {

    // Weight of one answer: some tens of them tell how full a service is.
    constexpr double answerWeight = 0.05;

    // What was seen this long ago counts for half: a surge begins and ends within seconds.
    constexpr std::chrono::duration<double> halfLife { 1 };

    // Of three targets one is free in two of three cases where this part is full. With 0.5,
    // 0.05 fewer of the calls are answered at 0.85 of the capacity (the model of the test
    // FreeSlots).
    constexpr double mostlyFull = 0.7;

}

void free_slot_estimator::recordAnswer(const std::string& service, bool full, time_point now)
{
    m_fullParts.try_emplace(service, halfLife).first->second.add(full ? 1 : 0, answerWeight, now);
}

bool free_slot_estimator::isFreeSlotLikely(const std::string& service, time_point now) const
{
    auto found = m_fullParts.find(service);
    return found == m_fullParts.end() || found->second.get(now) < mostlyFull;
}

}
