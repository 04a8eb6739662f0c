#pragma once

#include "routes/route_configuration.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Divides each route's requests among its destinations so that every run of them
// has the weights' parts, and not only the average of many (smooth weighted
// round robin). A part is never moved to another destination.
class destination_rotation {
public:
    // The chance, in [0, 1), decides where a route begins, so that nodes differ.
    const std::string& next(const route&, double chance);

    // Forgets what it knows of the routes, whose weights may have changed.
    void clear() { m_byRoute.clear(); }

private:
    // What each destination is owed, in the order of the route.
    std::unordered_map<std::string, std::vector<double>> m_byRoute;
};

}
