#pragma once

#include "routes/route_configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Finds the route of a request: of the routes for its host, the one with the longest prefix
// that matches its path.
class route_table {
public:
    explicit route_table(route_snapshot);

    // Returns null if no route matches. The host may include a port, which is ignored, and is
    // compared case-insensitively. The query of the target is not part of the path. The route
    // is owned by the configuration.
    const route* find(std::string_view host, std::string_view target) const;

    const route_configuration& configuration() const { return *m_configuration; }

private:
    route_snapshot m_configuration;
    // The routes of each host, the longest prefix first. Host names are in lower case.
    std::unordered_map<std::string, std::vector<const route*>> m_byHost;
};

}
