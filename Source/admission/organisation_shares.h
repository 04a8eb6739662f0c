#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Identifies an organisation within one gate; serves as an array index.
using organisation_index = std::uint32_t;

// The shares of the local backend server that the contracts grant to the organisations.
class organisation_shares {
public:
    // Sets the shares by organisation; replaces all earlier ones.
    void setShares(const std::map<std::string, double>&);

    // The index of the organisation. A new organisation gets a new index, up to a maximum
    // number; further organisations share the last index.
    organisation_index indexOf(const std::string& organisation);

    // Nothing for an organisation without an index.
    std::optional<organisation_index> find(const std::string& organisation) const;

    double share(organisation_index index) const { return m_shares[index]; }
    std::size_t size() const { return m_shares.size(); }

    // Divides an amount among demands in proportion to the shares (weighted max-min
    // fairness): what an organisation does not need goes to the others, so that nothing
    // is left over while a demand is unmet. Both vectors are indexed by
    // organisation_index.
    std::vector<double> divide(double amount, const std::vector<double>& demands) const;

private:
    std::map<std::string, double> m_byOrganisation;
    std::unordered_map<std::string, organisation_index> m_indices;
    std::vector<double> m_shares;
};

}
