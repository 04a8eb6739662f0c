#pragma once

#include "contract/toml_reader.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// Rules that accept the values between two bounds, both included.
toml_rule<std::int64_t> integerRule(std::int64_t min, std::int64_t max);
toml_rule<std::chrono::milliseconds> durationRule(std::chrono::milliseconds min, std::chrono::milliseconds max);
toml_rule<std::uint64_t> sizeRule(std::uint64_t min, std::uint64_t max);

// Accepts one of the given texts.
toml_rule<std::string> choiceRule(const std::vector<std::string>& choices);

// Accepts a name in a contract: 1 to 63 characters from a-z, 0-9 and "-".
const toml_rule<std::string>& nameRule();

// Accepts a prefix of a request's path.
const toml_rule<std::string>& pathRule();

}
