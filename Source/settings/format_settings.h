#pragma once

#include "settings/node_settings.h"

#include <string>

namespace vanillashunt {

// Formats all settings as TOML, with defaults written out. parseSettings returns the same settings
// again.
std::string formatSettings(const node_settings&);

}
