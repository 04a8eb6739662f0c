#pragma once

#include "contract/text_problem.h"
#include "settings/node_settings.h"

#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

using parse_settings_result = std::variant<node_settings, std::vector<text_problem>>;

// Reads the settings of a node from TOML; reports every problem at once.
parse_settings_result parseSettings(const std::string& text, const std::string& fileName);

}
