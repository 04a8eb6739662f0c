#pragma once

#include "command/command.h"

namespace vanillashunt {

// Runs the command that the words name; returns the exit code of the process.
int runProgram(const command_arguments&);

}
