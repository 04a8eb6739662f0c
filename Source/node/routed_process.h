#pragma once

#include "settings/node_settings.h"

#include <functional>
#include <string>

namespace vanillashunt {

// The file that the settings came from.
struct settings_source {
    std::string fileName;
    // Reads it again and tells whether it is right; its problems are reported.
    std::function<bool()> reread;
};

// Runs a node that serves an operator's routes until SIGTERM; returns the exit code.
int runRoutedNode(const node_settings&, const settings_source&);

}
