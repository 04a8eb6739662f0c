#include "routes/organisation_directory.h"

#include <algorithm>
#include <iterator>

namespace vanillashunt {

organisation_directory::organisation_directory(route_snapshot configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& each : m_configuration->organisations) {
        if (each.priority) {
            m_priorities.insert(*each.priority);
        }
        for (const auto& key : each.keys) {
            m_byKey.emplace(key, &each);
        }
    }
}

const organisation* organisation_directory::findByKey(const std::string& key) const
{
    auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

organisation_rank organisation_directory::rankOf(const organisation* each) const
{
    organisation_rank rank;
    rank.count = static_cast<std::uint32_t>(std::max<std::size_t>(1, m_priorities.size()));
    auto own = each && each->priority ? m_priorities.find(*each->priority) : m_priorities.end();
    rank.before = own == m_priorities.end() ? rank.count - 1 : static_cast<std::uint32_t>(std::distance(m_priorities.begin(), own));
    return rank;
}

}
