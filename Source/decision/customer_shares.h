#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Names a customer inside one gate; small, so that it indexes arrays.
using customer_index = std::uint32_t;

// The parts of the own backend server that the contracts give to the customers.
class customer_shares {
public:
    // Shares by customer; replaces all earlier ones.
    void setShares(const std::map<std::string, double>&);

    // The customer's index; new customers get one, up to a bound, and those
    // beyond it share the last.
    customer_index indexOf(const std::string& customer);

    // Nothing for a customer that never asked.
    std::optional<customer_index> find(const std::string& customer) const;

    double share(customer_index index) const { return m_shares[index]; }
    std::size_t size() const { return m_shares.size(); }

    // Divides an amount among demands in proportion to the shares. What one does
    // not need goes to the others, so nothing is left over while somebody wants
    // more. Both vectors are by customer_index.
    std::vector<double> divide(double amount, const std::vector<double>& demands) const;

private:
    std::map<std::string, double> m_byCustomer;
    std::unordered_map<std::string, customer_index> m_indices;
    std::vector<double> m_shares;
};

}
