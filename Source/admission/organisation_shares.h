#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Names an organisation inside one gate; small, so that it indexes arrays.
using organisation_index = std::uint32_t;

// The parts of the own backend server that the contracts give to the organisations.
class organisation_shares {
public:
    // Shares by organisation; replaces all earlier ones.
    void setShares(const std::map<std::string, double>&);

    // The organisation's index; new organisations get one, up to a bound, and those
    // beyond it share the last.
    organisation_index indexOf(const std::string& organisation);

    // Nothing for an organisation that never asked.
    std::optional<organisation_index> find(const std::string& organisation) const;

    double share(organisation_index index) const { return m_shares[index]; }
    std::size_t size() const { return m_shares.size(); }

    // Divides an amount among demands in proportion to the shares. What one does
    // not need goes to the others, so nothing is left over while somebody wants
    // more. Both vectors are by organisation_index.
    std::vector<double> divide(double amount, const std::vector<double>& demands) const;

private:
    std::map<std::string, double> m_byOrganisation;
    std::unordered_map<std::string, organisation_index> m_indices;
    std::vector<double> m_shares;
};

}
