#pragma once

#include "decision/member.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace vanillashunt {

constexpr std::size_t bucketCount = 64;

// Returns the bucket of a member: a hash of its id, below bucketCount.
std::size_t bucketOf(std::uint64_t memberId);

// Hashes over the live members of one availability zone, by bucket, updated
// incrementally. Nodes with equal hashes have equal ids, versions and states of these
// members.
class zone_digest {
public:
    // Adds the entry, or removes it if it was added before: the hashes are combined by XOR.
    void toggle(const member&);

    std::uint64_t hash() const;
    const std::array<std::uint64_t, bucketCount>& buckets() const { return m_buckets; }

private:
    std::array<std::uint64_t, bucketCount> m_buckets {};
};

}
