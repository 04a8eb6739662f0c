#pragma once

#include "command/command.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

// A long option of a command.
struct command_option {
    // Without the dashes.
    std::string name;
    bool takesValue = false;
    // Takes the value, empty for an option without one; returns what is wrong with it.
    std::function<std::optional<std::string>(const std::string& value)> take;
};

// The words that are no options, or how the command has ended already.
using command_line_result = std::variant<std::vector<std::string>, exit_code>;

// Reads options in any place. Answers --help by itself, and reports an option
// that is unknown or wrong.
command_line_result readCommandLine(const command&, const command_arguments&, const std::vector<command_option>&);

// Reports wrong usage on standard error, with the way to the help.
exit_code reportUsage(const command&, const std::string& message);

// Reports an error on standard error.
void reportError(const command&, const std::string& message);

// Runs the command of the table that the first word names; the others are its arguments.
exit_code runNamedCommand(const command& parent, const command_table&, const command_arguments&);

}
