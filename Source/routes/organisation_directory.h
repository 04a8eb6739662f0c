#pragma once

#include "decision/shedding_position.h"
#include "routes/route_configuration.h"

#include <set>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// Finds the organisation of a request by its key.
class organisation_directory {
public:
    explicit organisation_directory(route_snapshot);

    // Null for a key that none has.
    const organisation* findByKey(const std::string& key) const;

    // Where the priority that an operator gives an organisation stands among those that there
    // are; the lowest for null, and for one without.
    organisation_rank rankOf(const organisation*) const;

    // Whether requests need a key, but on public routes.
    bool requiresKeys() const { return m_configuration->requiresKeys; }

private:
    // Keeps alive what the entries point to.
    route_snapshot m_configuration;
    std::unordered_map<std::string, const organisation*> m_byKey;
    // Every priority that one has, each once.
    std::set<std::uint32_t> m_priorities;
};

}
