#pragma once

#include "settings/node_settings.h"

#include <functional>
#include <optional>
#include <string>

namespace vanillashunt {

// The file that the settings were read from.
struct settings_source {
    std::string fileName;
    // Reads the file again. Reports the problems of an invalid file and returns std::nullopt.
    std::function<std::optional<node_settings>()> reread;
};

// Runs a node that serves an operator's routes until SIGTERM or SIGINT; returns the exit code.
int runRoutedNode(const node_settings&, const settings_source&);

}
