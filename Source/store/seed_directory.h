#pragma once

#include <cstddef>
#include <string>

namespace vanillashunt {

// Where the platform's store keeps a few peer addresses of each availability
// zone, for nodes that do not know anyone yet. The members themselves are not
// in the store.
constexpr const char* seedPrefix = "/vanillashunt/seeds/";
constexpr std::size_t seedsPerZone = 3;

std::string seedKey(const std::string& availabilityZone, std::size_t number);

constexpr const char* contractPrefix = "/vanillashunt/contracts/";

}
