#include "admission/cost_order.h"

#include <algorithm>
#include <map>
#include <utility>

namespace vanillashunt {

namespace {

    // Of a class that costs more than the cheapest of its rivals, this part is shed first.
    // What is left of it is answered 0.55 times as often as the cheapest, at any overload:
    // enough that its users are not given up, and nearly half of its slots go to the others.
    constexpr double firstShedPart = 0.45;

    // A class that costs less than so many times the cheapest is as cheap: the measure of
    // a few answers is no better.
    constexpr double alikeFactor = 1.5;

    // Weight of one answer in the cost of its class.
    constexpr double answerWeight = 0.1;

    // The classes' parts are worked out anew so often, and what came before counts for
    // so much less each time: some seconds of arrivals decide.
    constexpr std::chrono::milliseconds dividePeriod { 250 };
    constexpr double arrivalsFade = 0.9;
    // A class with fewer arrivals is forgotten.
    constexpr double leastArrivals = 0.01;

}

void cost_order::arrived(const std::string& requestClass, importance level, time_point now)
{
    auto& entry = m_classes[requestClass];
    entry.level = level;
    entry.arrivals += 1;
    if (now - m_divided >= dividePeriod) {
        divideAgain(now);
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

shedding_position cost_order::place(const std::string& requestClass, shedding_position byHash) const
{
    auto found = m_classes.find(requestClass);
    if (found == m_classes.end()) {
        return byHash;
    }
    const auto& entry = found->second;
    auto base = byHash - byHash % positionsPerImportance;
    auto hash = static_cast<double>(byHash % positionsPerImportance) / positionsPerImportance;
    auto place = hash < entry.firstShed
        ? entry.firstShedBegin + hash / entry.firstShed * entry.firstShedWidth
        : entry.sharedBegin + (hash - entry.firstShed) / (1 - entry.firstShed) * (1 - entry.sharedBegin);
    return base + static_cast<shedding_position>(place * positionsPerImportance);
}

void cost_order::divideAgain(time_point now)
{
    m_divided = now;
    std::map<std::pair<importance, std::string>, std::vector<class_entry*>> rivals;
    for (auto each = m_classes.begin(); each != m_classes.end();) {
        auto& entry = each->second;
        entry.arrivals *= arrivalsFade;
        entry.firstShed = 0;
        entry.sharedBegin = 0;
        if (entry.arrivals < leastArrivals) {
            each = m_classes.erase(each);
            continue;
        }
        if (entry.slotTime > 0) {
            rivals[{ entry.level, entry.service }].push_back(&entry);
        }
        ++each;
    }
    for (auto& [key, classes] : rivals) {
        divide(classes);
    }
}

// Gives a part of each class but the cheapest ones the lowest places, the dearest the
// lowest of all, and each as many as it has requests in that part.
void cost_order::divide(std::vector<class_entry*>& rivals)
{
    std::sort(rivals.begin(), rivals.end(), [](const class_entry* a, const class_entry* b) { return a->slotTime > b->slotTime; });
    double all = 0;
    for (const auto* each : rivals) {
        all += each->arrivals;
    }
    auto cheapest = rivals.back()->slotTime;
    double begin = 0;
    for (auto* each : rivals) {
        if (each->slotTime < cheapest * alikeFactor) {
            break;
        }
        each->firstShed = firstShedPart;
        each->firstShedBegin = begin;
        each->firstShedWidth = firstShedPart * each->arrivals / all;
        begin += each->firstShedWidth;
    }
    for (auto* each : rivals) {
        each->sharedBegin = begin;
    }
}

}
