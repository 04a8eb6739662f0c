#include "admission/request_chances.h"

namespace vanillashunt {

namespace {

    // Each answer tells what its target has learnt from many calls.
    constexpr double answerWeight = 0.5;

    // Without news a trouble is taken to be over soon.
    constexpr std::chrono::duration<double> halfLife { 0.5 };

    // Servers fail some requests at the best of times.
    constexpr double usualChance = 0.95;

    // The end of a trouble is known within this time.
    constexpr std::chrono::milliseconds probePeriod { 250 };

    // Classes that are told apart; requests of others are let in.
    constexpr std::size_t mostClasses = 1024;

}

request_chances::request_chances(double leastChance)
    : m_leastChance(leastChance)
{
}

request_chances::class_chance::class_chance()
    : failing(halfLife)
{
}

void request_chances::told(const std::string& requestClass, double chance, time_point now)
{
    if (m_classes.size() >= mostClasses && m_classes.count(requestClass) == 0) {
        return;
    }
    m_classes[requestClass].failing.add(1 - chance, answerWeight, now);
}

double request_chances::get(const std::string& requestClass, time_point now) const
{
    auto found = m_classes.find(requestClass);
    return found == m_classes.end() ? 1 : found->second.chance(now);
}

std::vector<low_chance> request_chances::lowChances(time_point now) const
{
    std::vector<low_chance> result;
    for (const auto& [requestClass, known] : m_classes) {
        auto chance = known.chance(now);
        if (chance < usualChance) {
            result.push_back({ requestClass, chance });
        }
    }
    return result;
}

bool request_chances::refuses(const std::string& requestClass, bool idempotent, time_point now)
{
    auto found = m_classes.find(requestClass);
    if (found == m_classes.end()) {
        return false;
    }
    auto& known = found->second;
    auto chance = known.chance(now);
    // One that is idempotent may be sent again at once: two tries together have to do.
    auto succeeds = idempotent ? 1 - (1 - chance) * (1 - chance) : chance;
    if (succeeds >= m_leastChance) {
        return false;
    }
    if (now >= known.nextProbe) {
        known.nextProbe = now + probePeriod;
        return false;
    }
    return true;
}

}
