#pragma once

#include "contract/text_problem.h"
#include "contract/toml_node.h"

#include <string>
#include <variant>

namespace vanillashunt {

using parse_toml_result = std::variant<toml_node, text_problem>;

// Reads a TOML text into its root table, or says where its syntax is broken.
parse_toml_result parseToml(const std::string& text, const std::string& fileName);

}
