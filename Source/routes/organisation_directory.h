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

    // Returns null if no organisation has the key.
    const organisation* findByKey(const std::string& key) const;

    // Returns the rank of an organisation's priority among the priorities of all organisations.
    // It is the lowest rank for null and for an organisation without a priority.
    organisation_rank rankOf(const organisation*) const;

    // Whether requests need a key, except on public routes.
    bool requiresKeys() const { return m_configuration->requiresKeys; }

private:
    // Owns the organisations that m_byKey points to.
    route_snapshot m_configuration;
    std::unordered_map<std::string, const organisation*> m_byKey;
    // The distinct priorities of all organisations.
    std::set<std::uint32_t> m_priorities;
};

}
