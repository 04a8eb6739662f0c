#pragma once

#include "command/command.h"

namespace vanillashunt {

// Runs a node that serves an operator's routes in the foreground.
command routedNodeCommand();

}
