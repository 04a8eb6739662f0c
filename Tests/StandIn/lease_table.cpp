#include "StandIn/lease_table.h"

namespace vanillashunt {

std::int64_t lease_table::grant(std::int64_t id, std::chrono::seconds lifetime, time_point now)
{
    if (id == 0) {
        id = ++m_lastId;
    }
    m_leases[id] = { lifetime, now + lifetime };
    return id;
}

std::chrono::seconds lease_table::keepAlive(std::int64_t id, time_point now)
{
    auto found = m_leases.find(id);
    if (found == m_leases.end()) {
        return std::chrono::seconds(0);
    }
    found->second.end = now + found->second.lifetime;
    return found->second.lifetime;
}

bool lease_table::revoke(std::int64_t id)
{
    return m_leases.erase(id) > 0;
}

std::vector<std::int64_t> lease_table::takeLapsed(time_point now)
{
    std::vector<std::int64_t> lapsed;
    for (auto each = m_leases.begin(); each != m_leases.end();) {
        if (each->second.end > now) {
            ++each;
            continue;
        }
        lapsed.push_back(each->first);
        each = m_leases.erase(each);
    }
    return lapsed;
}

}
