#include "decision/customer_shares.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::size_t customerBound = 4096;

    // For a customer whose contract has not reached this node yet.
    constexpr double unknownShare = 0.1;

}

void customer_shares::setShares(const std::map<std::string, double>& shares)
{
    m_byCustomer = shares;
    for (const auto& [customer, index] : m_indices) {
        auto found = m_byCustomer.find(customer);
        m_shares[index] = found == m_byCustomer.end() ? unknownShare : found->second;
    }
}

customer_index customer_shares::indexOf(const std::string& customer)
{
    auto known = m_indices.find(customer);
    if (known != m_indices.end()) {
        return known->second;
    }
    if (m_shares.size() == customerBound) {
        return customerBound - 1;
    }
    auto index = static_cast<customer_index>(m_shares.size());
    auto found = m_byCustomer.find(customer);
    m_shares.push_back(found == m_byCustomer.end() ? unknownShare : found->second);
    m_indices.emplace(customer, index);
    return index;
}

std::optional<customer_index> customer_shares::find(const std::string& customer) const
{
    auto known = m_indices.find(customer);
    if (known == m_indices.end()) {
        return std::nullopt;
    }
    return known->second;
}

std::vector<double> customer_shares::divide(double amount, const std::vector<double>& demands) const
{
    std::vector<customer_index> open;
    for (customer_index index = 0; index < demands.size(); ++index) {
        if (demands[index] > 0) {
            open.push_back(index);
        }
    }
    // Those who need least of their share are served first and leave the rest to the others.
    std::sort(open.begin(), open.end(), [&](auto a, auto b) { return demands[a] / m_shares[a] < demands[b] / m_shares[b]; });
    double shares = 0;
    for (auto index : open) {
        shares += m_shares[index];
    }
    std::vector<double> parts(demands.size(), 0);
    for (auto index : open) {
        parts[index] = std::min(demands[index], amount * m_shares[index] / shares);
        amount -= parts[index];
        shares -= m_shares[index];
    }
    return parts;
}

}
