#include "admission/organisation_shares.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::size_t maxOrganisations = 4096;

    // The share of an organisation whose contract has not reached this node yet.
    constexpr double defaultShare = 0.1;

}

void organisation_shares::setShares(const std::map<std::string, double>& shares)
{
    m_byOrganisation = shares;
    for (const auto& [organisation, index] : m_indices) {
        auto found = m_byOrganisation.find(organisation);
        m_shares[index] = found == m_byOrganisation.end() ? defaultShare : found->second;
    }
}

organisation_index organisation_shares::indexOf(const std::string& organisation)
{
    auto known = m_indices.find(organisation);
    if (known != m_indices.end()) {
        return known->second;
    }
    if (m_shares.size() == maxOrganisations) {
        return maxOrganisations - 1;
    }
    auto index = static_cast<organisation_index>(m_shares.size());
    auto found = m_byOrganisation.find(organisation);
    m_shares.push_back(found == m_byOrganisation.end() ? defaultShare : found->second);
    m_indices.emplace(organisation, index);
    return index;
}

std::optional<organisation_index> organisation_shares::find(const std::string& organisation) const
{
    auto known = m_indices.find(organisation);
    if (known == m_indices.end()) {
        return std::nullopt;
    }
    return known->second;
}

std::vector<double> organisation_shares::divide(double amount, const std::vector<double>& demands) const
{
    std::vector<organisation_index> demanding;
    for (organisation_index index = 0; index < demands.size(); ++index) {
        if (demands[index] > 0) {
            demanding.push_back(index);
        }
    }
    // Organisations with the lowest demand relative to their share come first and leave the
    // rest to the others.
    std::sort(demanding.begin(), demanding.end(), [&](auto a, auto b) { return demands[a] / m_shares[a] < demands[b] / m_shares[b]; });
    double shares = 0;
    for (auto index : demanding) {
        shares += m_shares[index];
    }
    std::vector<double> allocation(demands.size(), 0);
    for (auto index : demanding) {
        allocation[index] = std::min(demands[index], amount * m_shares[index] / shares);
        amount -= allocation[index];
        shares -= m_shares[index];
    }
    return allocation;
}

}
