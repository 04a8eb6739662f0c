#include "routes/organisation_directory.h"

#include <algorithm>
#include <iterator>

namespace vanillashunt {

organisation_directory::organisation_directory(route_snapshot configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& entry : m_configuration->organisations) {
        if (entry.priority) {
            m_priorities.insert(*entry.priority);
        }
        for (const auto& key : entry.keys) {
            m_byKey.emplace(key, &entry);
        }
    }
}

const organisation* organisation_directory::findByKey(const std::string& key) const
{
    auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

organisation_rank organisation_directory::rankOf(const organisation* entry) const
{
    organisation_rank rank;
    rank.count = static_cast<std::uint32_t>(std::max<std::size_t>(1, m_priorities.size()));
    auto position = entry && entry->priority ? m_priorities.find(*entry->priority) : m_priorities.end();
    rank.before = position == m_priorities.end() ? rank.count - 1 : static_cast<std::uint32_t>(std::distance(m_priorities.begin(), position));
    return rank;
}

}
