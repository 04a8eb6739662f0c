#include "quota/recent_admissions.h"

#include <algorithm>

namespace vanillashunt {

std::int64_t recent_admissions::partAt(time_point time)
{
    return time.time_since_epoch() / (window / static_cast<int>(parts));
}

void recent_admissions::add(const std::string& organisation, time_point now)
{
    auto& known = m_entries[organisation];
    auto part = partAt(now);
    auto passed = std::min<std::int64_t>(part - known.newest, parts);
    for (std::int64_t i = 0; i < passed; ++i) {
        known.counts.at(static_cast<std::size_t>((part - i) % static_cast<std::int64_t>(parts))) = 0;
    }
    known.newest = part;
    ++known.counts.at(static_cast<std::size_t>(part) % parts);
}

std::uint32_t recent_admissions::sum(const entry& known, std::int64_t part)
{
    std::uint32_t result = 0;
    for (std::int64_t back = 0; back < static_cast<std::int64_t>(parts); ++back) {
        bool isCounted = known.newest - back > part - static_cast<std::int64_t>(parts);
        result += isCounted ? known.counts.at(static_cast<std::size_t>((known.newest - back) % static_cast<std::int64_t>(parts))) : 0;
    }
    return result;
}

std::uint32_t recent_admissions::count(const std::string& organisation, time_point now) const
{
    auto found = m_entries.find(organisation);
    return found == m_entries.end() ? 0 : sum(found->second, partAt(now));
}

void recent_admissions::forgetIdle(time_point now)
{
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        each = sum(each->second, partAt(now)) == 0 ? m_entries.erase(each) : std::next(each);
    }
}

}
