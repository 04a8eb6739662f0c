#pragma once

#include "routes/route_configuration.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Divides each route's requests among its destinations so that every run of them
// has the weights' parts, and not only the average of many. A part is never moved to
// another destination.
//
// Each request of a node, its first one too, goes to a destination with the chance that
// the weights say, so that the parts are also right for the sum of many nodes that see few
// requests each. Where 195 nodes see three requests each, a part of weight 0.5 gets 0.47 to
// 0.52 of them over 20 seeds, and one of weight 0.1 gets 0.08 to 0.11; 0.67 and 0.27 where
// each node's first request goes to the part that is owed most (the test DestinationRotation).
class destination_rotation {
public:
    // Returns a random number in [0, 1).
    using chance_hook = std::function<double()>;

    explicit destination_rotation(chance_hook);

    const std::string& next(const route&);

    // Forgets routes that are gone. What is known of the others holds for other weights, too.
    void setRoutes(const std::vector<route>&);

private:
    // A destination takes a request or leaves it to those after it in the route; its
    // phase, in [0, 1), says how near its next turn is. All but the last have one.
    using phases = std::vector<double>;

    phases& phasesOf(const route&);

    chance_hook m_chance;
    std::unordered_map<std::string, phases> m_byRoute;
};

}
