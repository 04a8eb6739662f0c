#include "RoutedSoak/soak_seeds.h"

#include <cstdlib>

namespace vanillashunt {

std::vector<std::uint64_t> soakSeeds(const std::vector<std::uint64_t>& kept)
{
    const char* wanted = std::getenv("SOAK_SEEDS");
    if (!wanted) {
        return kept;
    }
    char* rest = nullptr;
    auto first = std::strtoull(wanted, &rest, 10);
    auto count = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1;
    std::vector<std::uint64_t> result;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        result.push_back(seed);
    }
    return result;
}

}
