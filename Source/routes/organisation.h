#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Requests that an organisation may have, over all nodes together.
struct organisation_quota {
    // Requests a second; 0 for no limit.
    double ratePerSecond = 0;
    // Requests beside that, at once.
    double burst = 0;

    bool isLimited() const { return ratePerSecond > 0; }
};

// What an operator says of an organisation whose requests name it by a key.
struct organisation {
    std::string name;
    // Secret: they are compared, and stand in no log, dump, metric or message.
    std::vector<std::string> keys;
    // Goes before the priority of the route; 0 is the highest rank.
    std::optional<std::uint32_t> priority;
    organisation_quota quota;
};

}
