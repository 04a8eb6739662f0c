#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace vanillashunt {

// The leases that have been granted and not ended.
class lease_table {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Returns the lease's id; an id of 0 asks for a new one.
    std::int64_t grant(std::int64_t id, std::chrono::seconds lifetime, time_point now);

    // Returns the renewed lifetime, or zero for a lease that has ended.
    std::chrono::seconds keepAlive(std::int64_t id, time_point now);

    bool contains(std::int64_t id) const { return m_leases.count(id) > 0; }

    // Returns whether there was such a lease.
    bool revoke(std::int64_t id);

    // Ends the leases that are over, and returns them.
    std::vector<std::int64_t> takeLapsed(time_point now);

private:
    struct lease {
        std::chrono::seconds lifetime { 0 };
        time_point end;
    };

    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_lastId = 7000000000000;
};

}
