#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Limit on the requests of an organisation, over all nodes together.
struct organisation_quota {
    // Requests per second; 0 means no limit.
    double ratePerSecond = 0;
    // Requests that are allowed at once on top of the rate.
    double burst = 0;

    bool isLimited() const { return ratePerSecond > 0; }
};

// An organisation as the operator configures it. Its requests identify it by a key.
struct organisation {
    std::string name;
    // Secret: keys are only compared, and must not appear in any log, dump, metric or message.
    std::vector<std::string> keys;
    // Takes precedence over the priority of the route; 0 is the highest rank.
    std::optional<std::uint32_t> priority;
    organisation_quota quota;
};

}
