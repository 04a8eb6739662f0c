#include "routes/destination_rotation.h"

#include <cstddef>
#include <utility>

namespace vanillashunt {

namespace {

    double sumOfWeights(const route& from)
    {
        double sum = 0;
        for (const auto& each : from.destinations) {
            sum += each.weight;
        }
        return sum;
    }

}

destination_rotation::destination_rotation(chance_hook chance)
    : m_chance(std::move(chance))
{
}

destination_rotation::phases& destination_rotation::phasesOf(const route& from)
{
    auto& known = m_byRoute[from.name];
    if (known.size() + 1 != from.destinations.size()) {
        known.assign(from.destinations.size() - 1, 0);
        for (auto& phase : known) {
            phase = m_chance();
        }
    }
    return known;
}

const std::string& destination_rotation::next(const route& from)
{
    if (from.destinations.size() == 1) {
        return from.destinations.front().service;
    }
    auto& known = phasesOf(from);
    auto left = sumOfWeights(from);
    for (std::size_t i = 0; i < known.size() && left > 0; ++i) {
        const auto& destination = from.destinations[i];
        known[i] += destination.weight / left;
        if (known[i] >= 1) {
            known[i] -= 1;
            return destination.service;
        }
        left -= destination.weight;
    }
    return from.destinations.back().service;
}

void destination_rotation::setRoutes(const std::vector<route>& routes)
{
    std::unordered_map<std::string, phases> kept;
    for (const auto& each : routes) {
        auto known = m_byRoute.extract(each.name);
        if (known) {
            kept.insert(std::move(known));
        }
    }
    m_byRoute = std::move(kept);
}

}
