#pragma once

#include "contract/text_problem.h"

#include <cstddef>
#include <optional>
#include <string>

namespace vanillashunt {

// Bounds on a text before the TOML library sees it. The library descends one call
// for each bracket and each dot of a key, so nesting must not be the text's choice.
constexpr std::size_t largestTomlText = 64UL * 1024;
constexpr std::size_t longestTomlLine = 1024;
constexpr int deepestTomlNesting = 8;

// Finds the first thing in a text that the TOML library is not to be given.
std::optional<text_problem> findUnsafeToml(const std::string& text, const std::string& fileName);

}
