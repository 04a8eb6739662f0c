#pragma once

#include "command/exit_code.h"

#include <string>
#include <vector>

namespace vanillashunt {

// The words of a command line after the command's own name.
using command_arguments = std::vector<std::string>;

// One command, or one sub-command of a command.
struct command {
    // All words that lead to it, for example "contract check".
    const char* path;
    // One line for the list of commands.
    const char* summary;
    // What --help prints.
    const char* help;
    exit_code (*run)(const command&, const command_arguments&);
};

// The commands of the program or of one command.
using command_table = std::vector<command>;

}
