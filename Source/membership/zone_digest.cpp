#include "membership/zone_digest.h"

#include <xxhash.h>

namespace vanillashunt {

std::size_t bucketOf(std::uint64_t memberId)
{
    return XXH3_64bits(&memberId, sizeof(memberId)) % bucketCount;
}

void zone_digest::toggle(const member& entry)
{
    std::array<std::uint64_t, 3> fields { entry.id, entry.version, static_cast<std::uint64_t>(entry.state) };
    m_buckets.at(bucketOf(entry.id)) ^= XXH3_64bits(fields.data(), sizeof(fields));
}

std::uint64_t zone_digest::hash() const
{
    return XXH3_64bits(m_buckets.data(), sizeof(m_buckets));
}

}
