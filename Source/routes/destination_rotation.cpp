#include "routes/destination_rotation.h"

#include <algorithm>
#include <cstddef>

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

const std::string& destination_rotation::next(const route& from, double chance)
{
    if (from.destinations.size() == 1) {
        return from.destinations.front().service;
    }
    auto total = sumOfWeights(from);
    auto [found, isNew] = m_byRoute.try_emplace(from.name, from.destinations.size(), 0.0);
    auto& owed = found->second;
    if (isNew) {
        // A beginning within one turn moves no part by more than one request.
        owed.front() = chance * total;
        owed.back() -= chance * total;
    }
    for (std::size_t i = 0; i < owed.size(); ++i) {
        owed[i] += from.destinations[i].weight;
    }
    auto most = std::max_element(owed.begin(), owed.end());
    *most -= total;
    return from.destinations[static_cast<std::size_t>(most - owed.begin())].service;
}

}
