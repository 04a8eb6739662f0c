#pragma once

#include "contract/toml_reader.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// Both bounds are allowed values.
toml_rule<std::int64_t> integerRule(std::int64_t least, std::int64_t most);
toml_rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds least, std::chrono::milliseconds most);
toml_rule<std::uint64_t> sizeRule(std::uint64_t least, std::uint64_t most);

// One of the words.
toml_rule<std::string> wordRule(const std::vector<std::string>& words);

// A name of the contracts: 1 to 63 of a-z, 0-9 and "-".
const toml_rule<std::string>& nameRule();

// The beginning of a request's path.
const toml_rule<std::string>& pathRule();

}
