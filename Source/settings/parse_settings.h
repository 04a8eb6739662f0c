#pragma once

#include "contract/text_problem.h"
#include "settings/node_settings.h"

#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

using parse_settings_result = std::variant<node_settings, std::vector<text_problem>>;

// Parses the settings of a node from TOML. Returns either the settings or all problems found in
// the text. The file name is only used in the problems.
parse_settings_result parseSettings(const std::string& text, const std::string& fileName);

}
