#include "quota/recent_admissions.h"

namespace vanillashunt {

void recent_admissions::add(const std::string& organisation, time_point now)
{
    m_entries.try_emplace(organisation, window).first->second.add(now);
}

std::uint32_t recent_admissions::count(const std::string& organisation, time_point now) const
{
    auto found = m_entries.find(organisation);
    return found == m_entries.end() ? 0 : found->second.sum(now);
}

void recent_admissions::forgetIdle(time_point now)
{
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        position = position->second.sum(now) == 0 ? m_entries.erase(position) : std::next(position);
    }
}

}
