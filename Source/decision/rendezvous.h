#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace vanillashunt {

// The member's place in the rendezvous order of the candidates, so that all nodes
// that know the same candidates agree on who is first; nothing beyond the bound.
std::optional<std::size_t> rendezvousRank(std::uint64_t memberId, const std::vector<std::uint64_t>& candidates, std::size_t bound);

// The first of the candidates in that order, or in another for each key; nothing if there
// is none.
std::optional<std::uint64_t> rendezvousFirst(const std::vector<std::uint64_t>& candidates, std::uint64_t key = 0);

}
