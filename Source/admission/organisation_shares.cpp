#include "admission/organisation_shares.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::size_t organisationBound = 4096;

    // For an organisation whose contract has not reached this node yet.
    constexpr double unknownShare = 0.1;

}

void organisation_shares::setShares(const std::map<std::string, double>& shares)
{
    m_byOrganisation = shares;
    for (const auto& [organisation, index] : m_indices) {
        auto found = m_byOrganisation.find(organisation);
        m_shares[index] = found == m_byOrganisation.end() ? unknownShare : found->second;
    }
}

organisation_index organisation_shares::indexOf(const std::string& organisation)
{
    auto known = m_indices.find(organisation);
    if (known != m_indices.end()) {
        return known->second;
    }
    if (m_shares.size() == organisationBound) {
        return organisationBound - 1;
    }
    auto index = static_cast<organisation_index>(m_shares.size());
    auto found = m_byOrganisation.find(organisation);
    m_shares.push_back(found == m_byOrganisation.end() ? unknownShare : found->second);
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
    std::vector<organisation_index> open;
    for (organisation_index index = 0; index < demands.size(); ++index) {
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
