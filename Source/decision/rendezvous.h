#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace vanillashunt {

// The member's rank, from 0, in the rendezvous hashing order of the candidates. Nodes that
// know the same candidates agree on the order. Returns nullopt for a rank of bound or more.
std::optional<std::size_t> rendezvousRank(std::uint64_t memberId, const std::vector<std::uint64_t>& candidates, std::size_t bound);

// The first of the candidates in that order; each key gives an order of its own. Returns
// nullopt if there are no candidates.
std::optional<std::uint64_t> rendezvousFirst(const std::vector<std::uint64_t>& candidates, std::uint64_t key = 0);

}
