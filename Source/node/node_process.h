#pragma once

#include "settings/node_settings.h"

namespace vanillashunt {

// Runs a node until a planned stop has completed. Returns the exit code of the process.
int runNode(const node_settings&);

}
