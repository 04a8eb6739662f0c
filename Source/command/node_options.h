#pragma once

#include "command/command_line.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

// Which nodes a command asks, and how.
struct node_options {
    // Operator ports: "IP:port" each.
    std::vector<std::string> nodes;
    // Whether to ask every member that the nodes know, too.
    bool all = false;
    bool json = false;
    std::chrono::milliseconds timeout { 3000 };
};

// The options --node, --timeout and --json; they are written into the argument.
std::vector<command_option> optionsOf(node_options&);

// The option --all.
command_option allOption(node_options&);

// Reads the words of a command that takes these options, --all among them, and nodes.
// Returns how the command ends where they are wrong, or ask for help.
std::optional<exit_code> readNodeOptions(const command&, const command_arguments&, node_options&);

// The same for a command whose first word names what it asks about: returns that word. The
// message says what to name where there is none.
std::variant<exit_code, std::string> readSubjectAndNodes(const command&, const command_arguments&, const std::string& missing, node_options&);

// Takes words that are no options as further nodes; reports one that is no address.
std::optional<exit_code> takeNodes(const command&, const std::vector<std::string>& words, node_options&);

}
