#pragma once

#include "routes/route_configuration.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Finds the route of a request: of those of its host, the one with the longest
// prefix that begins its path.
class route_table {
public:
    explicit route_table(route_snapshot);

    // Null if no route fits. The host may have a port; letters count in any case.
    // A query does not count as part of the path.
    const route* find(std::string_view host, std::string_view target) const;

    const route_configuration& configuration() const { return *m_configuration; }

private:
    route_snapshot m_configuration;
    // The routes of each host in lower case, the longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> m_byHost;
};

}
