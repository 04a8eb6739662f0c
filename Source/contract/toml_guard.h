#pragma once

#include "contract/text_problem.h"

#include <cstddef>
#include <optional>
#include <string>

namespace vanillashunt {

// Bounds that a text must meet before it is given to the TOML library, in bytes and levels. The
// library recurses once for each bracket and each dot of a key, so that unbounded nesting or
// long lines could exhaust the stack.
constexpr std::size_t maxTomlSize = 64UL * 1024;
constexpr std::size_t maxTomlLineLength = 1024;
constexpr int maxTomlNesting = 8;

// Returns the first problem that makes a text unsafe to parse: invalid UTF-8 or a violation of
// these bounds. Returns nothing for a safe text.
std::optional<text_problem> findUnsafeToml(const std::string& text, const std::string& fileName);

}
