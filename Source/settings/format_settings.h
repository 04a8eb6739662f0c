#pragma once

#include "settings/node_settings.h"

#include <string>

namespace vanillashunt {

// Writes every setting with its value in force, so that parseSettings reads the same back.
std::string formatSettings(const node_settings&);

}
