#pragma once

#include "settings/node_settings.h"

#include <functional>
#include <optional>
#include <string>

namespace vanillashunt {

// The file that the settings came from.
struct settings_source {
    std::string fileName;
    // Reads it again; nothing if it is wrong, and its problems are reported.
    std::function<std::optional<node_settings>()> reread;
};

// Runs a node that serves an operator's routes until SIGTERM; returns the exit code.
int runRoutedNode(const node_settings&, const settings_source&);

}
