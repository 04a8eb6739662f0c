#include "decision/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace vanillashunt {

namespace {

    std::uint64_t weight(std::uint64_t memberId, std::uint64_t key = 0)
    {
        return XXH3_64bits_withSeed(&memberId, sizeof(memberId), key);
    }

}

std::optional<std::size_t> rendezvousRank(std::uint64_t memberId, const std::vector<std::uint64_t>& candidates, std::size_t bound)
{
    std::size_t rank = 0;
    for (auto candidate : candidates) {
        rank += weight(candidate) < weight(memberId) ? 1 : 0;
        if (rank >= bound) {
            return std::nullopt;
        }
    }
    return rank;
}

std::optional<std::uint64_t> rendezvousFirst(const std::vector<std::uint64_t>& candidates, std::uint64_t key)
{
    auto first = std::min_element(candidates.begin(), candidates.end(), [key](std::uint64_t left, std::uint64_t right) { return weight(left, key) < weight(right, key); });
    return first == candidates.end() ? std::nullopt : std::optional(*first);
}

}
