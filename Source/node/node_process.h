#pragma once

#include "settings/node_settings.h"

namespace vanillashunt {

// Runs one node until a planned stop has ended; returns the exit code of the process.
int runNode(const node_settings&);

}
