#pragma once

#include "command/exit_code.h"
#include "settings/node_settings.h"

#include <string>
#include <variant>

namespace vanillashunt {

// Reads a settings file; reports its problems on standard error, one a line.
// Refused stands for a file that was read and is wrong.
std::variant<node_settings, exit_code> readSettingsFile(const std::string& fileName);

}
