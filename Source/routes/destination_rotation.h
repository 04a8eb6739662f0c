#pragma once

#include "routes/route_configuration.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Divides each route's requests among its destinations in proportion to their weights. The
// proportions hold in every sequence of requests and not only on average. The share of one
// destination is never moved to another.
//
// Every request of a node, including the first, goes to a destination with the probability
// that the weights give it. The proportions therefore also hold for the sum over many nodes
// that see few requests each. With 195 nodes that see three requests each and 20 seeds, a
// destination of weight 0.5 gets 0.47 to 0.52 of the requests and one of weight 0.1 gets 0.08
// to 0.11. If each node sent its first request to the destination that is furthest below its
// share, they would get 0.67 and 0.27 (see the test DestinationRotation).
class destination_rotation {
public:
    // Returns a random number in [0, 1).
    using random_function = std::function<double()>;

    explicit destination_rotation(random_function);

    // Returns the service that the next request of the route goes to.
    const std::string& next(const route&);

    // Discards the phases of routes that no longer exist. The phases of the other routes remain
    // valid if their weights change.
    void setRoutes(const std::vector<route>&);

private:
    // A destination takes a request or leaves it to those after it in the route. Its phase, in
    // [0, 1), tells how close its next turn is. Every destination but the last has a phase.
    using phases = std::vector<double>;

    phases& phasesOf(const route&);

    random_function m_random;
    std::unordered_map<std::string, phases> m_byRoute;
};

}
