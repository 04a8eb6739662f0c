#include "admission/cost_order.h"

#include <algorithm>
#include <map>
#include <utility>

namespace vanillashunt {

namespace {

    // Fraction of a class that is shed first if it costs more than the cheapest competing
    // class. At any overload, the class is then answered 0.55 times as often as the cheapest:
    // often enough to remain usable, while nearly half of its slots go to the others.
    constexpr double firstShedFraction = 0.45;

    // A class that costs less than this multiple of the cheapest counts as equally cheap,
    // because a cost measured from a few answers is no more precise.
    constexpr double similarCostFactor = 1.5;

    // Weight of one answer in the smoothed cost of its class.
    constexpr double answerWeight = 0.1;

    // The ranges of the classes are recomputed with this period, and earlier arrivals are
    // multiplied by the decay factor each time, so that the last few seconds decide.
    constexpr std::chrono::milliseconds recomputePeriod { 250 };
    constexpr double arrivalsDecay = 0.9;
    // A class with fewer decayed arrivals is removed.
    constexpr double minArrivals = 0.01;

}

void cost_order::arrived(const std::string& requestClass, importance level, time_point now)
{
    auto& entry = m_classes[requestClass];
    entry.level = level;
    entry.arrivals += 1;
    if (now - m_lastRecompute >= recomputePeriod) {
        recomputeRanges(now);
    }
}

void cost_order::served(const std::string& requestClass, const bottleneck_cost& cost)
{
    auto found = m_classes.find(requestClass);
    if (cost.service.empty() || found == m_classes.end()) {
        return;
    }
    auto& entry = found->second;
    auto slotTime = static_cast<double>(cost.slotTime.count());
    if (entry.service != cost.service) {
        entry.service = cost.service;
        entry.slotTime = slotTime;
        return;
    }
    entry.slotTime += answerWeight * (slotTime - entry.slotTime);
}

shedding_position cost_order::adjustedPosition(const std::string& requestClass, shedding_position hashPosition) const
{
    auto found = m_classes.find(requestClass);
    if (found == m_classes.end()) {
        return hashPosition;
    }
    const auto& entry = found->second;
    auto base = hashPosition - hashPosition % positionsPerImportance;
    auto hash = static_cast<double>(hashPosition % positionsPerImportance) / positionsPerImportance;
    auto fraction = hash < entry.firstShed
        ? entry.firstShedBegin + hash / entry.firstShed * entry.firstShedWidth
        : entry.sharedBegin + (hash - entry.firstShed) / (1 - entry.firstShed) * (1 - entry.sharedBegin);
    return base + static_cast<shedding_position>(fraction * positionsPerImportance);
}

void cost_order::recomputeRanges(time_point now)
{
    m_lastRecompute = now;
    std::map<std::pair<importance, std::string>, std::vector<class_entry*>> competitors;
    for (auto iterator = m_classes.begin(); iterator != m_classes.end();) {
        auto& entry = iterator->second;
        entry.arrivals *= arrivalsDecay;
        entry.firstShed = 0;
        entry.sharedBegin = 0;
        if (entry.arrivals < minArrivals) {
            iterator = m_classes.erase(iterator);
            continue;
        }
        if (entry.slotTime > 0) {
            competitors[{ entry.level, entry.service }].push_back(&entry);
        }
        ++iterator;
    }
    for (auto& [key, classes] : competitors) {
        assignRanges(classes);
    }
}

// Assigns the lowest positions to the first-shed fraction of each class except the cheapest
// ones, beginning with the most expensive class. The width of each range corresponds to
// the arrivals in that fraction.
void cost_order::assignRanges(std::vector<class_entry*>& competitors)
{
    std::sort(competitors.begin(), competitors.end(), [](const class_entry* a, const class_entry* b) { return a->slotTime > b->slotTime; });
    double totalArrivals = 0;
    for (const auto* competitor : competitors) {
        totalArrivals += competitor->arrivals;
    }
    auto cheapest = competitors.back()->slotTime;
    double begin = 0;
    for (auto* competitor : competitors) {
        if (competitor->slotTime < cheapest * similarCostFactor) {
            break;
        }
        competitor->firstShed = firstShedFraction;
        competitor->firstShedBegin = begin;
        competitor->firstShedWidth = firstShedFraction * competitor->arrivals / totalArrivals;
        begin += competitor->firstShedWidth;
    }
    for (auto* competitor : competitors) {
        competitor->sharedBegin = begin;
    }
}

}
