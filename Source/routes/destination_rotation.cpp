#include "routes/destination_rotation.h"

#include <cstddef>
#include <utility>

namespace vanillashunt {

namespace {

    double sumOfWeights(const route& requestRoute)
    {
        double sum = 0;
        for (const auto& destination : requestRoute.destinations) {
            sum += destination.weight;
        }
        return sum;
    }

}

destination_rotation::destination_rotation(random_function random)
    : m_random(std::move(random))
{
}

destination_rotation::phases& destination_rotation::phasesOf(const route& requestRoute)
{
    auto& routePhases = m_byRoute[requestRoute.name];
    if (routePhases.size() + 1 != requestRoute.destinations.size()) {
        routePhases.assign(requestRoute.destinations.size() - 1, 0);
        for (auto& phase : routePhases) {
            phase = m_random();
        }
    }
    return routePhases;
}

const std::string& destination_rotation::next(const route& requestRoute)
{
    if (requestRoute.destinations.size() == 1) {
        return requestRoute.destinations.front().service;
    }
    auto& routePhases = phasesOf(requestRoute);
    auto remainingWeight = sumOfWeights(requestRoute);
    for (std::size_t i = 0; i < routePhases.size() && remainingWeight > 0; ++i) {
        const auto& destination = requestRoute.destinations[i];
        routePhases[i] += destination.weight / remainingWeight;
        if (routePhases[i] >= 1) {
            routePhases[i] -= 1;
            return destination.service;
        }
        remainingWeight -= destination.weight;
    }
    return requestRoute.destinations.back().service;
}

void destination_rotation::setRoutes(const std::vector<route>& routes)
{
    std::unordered_map<std::string, phases> kept;
    for (const auto& current : routes) {
        auto node = m_byRoute.extract(current.name);
        if (node) {
            kept.insert(std::move(node));
        }
    }
    m_byRoute = std::move(kept);
}

}
