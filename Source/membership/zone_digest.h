#pragma once

#include "decision/member.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace vanillashunt {

constexpr std::size_t bucketCount = 64;

std::size_t bucketOf(std::uint64_t memberId);

// Hashes over the live members of one availability zone, in buckets, kept up to
// date with each change. Two nodes with the same hashes know the same.
class zone_digest {
public:
    // Adds the member, or removes it when it was added before.
    void toggle(const member&);

    std::uint64_t hash() const;
    const std::array<std::uint64_t, bucketCount>& buckets() const { return m_buckets; }

private:
    std::array<std::uint64_t, bucketCount> m_buckets {};
};

}
