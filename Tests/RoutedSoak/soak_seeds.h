#pragma once

#include <cstdint>
#include <vector>

namespace vanillashunt {

// The seeds that SOAK_SEEDS=FIRST:COUNT names, or the kept ones.
std::vector<std::uint64_t> soakSeeds(const std::vector<std::uint64_t>& kept);

}
