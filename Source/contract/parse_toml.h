#pragma once

#include "contract/text_problem.h"
#include "contract/toml_node.h"

#include <string>
#include <variant>

namespace vanillashunt {

using parse_toml_result = std::variant<toml_node, text_problem>;

// Parses a TOML text into its root table. Returns the first syntax error instead if there is
// one, or the first violation of the bounds in toml_guard.h. The file name is only used in the
// problem.
parse_toml_result parseToml(const std::string& text, const std::string& fileName);

}
