#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace vanillashunt {

// One long option of a subcommand and what it does with its value.
struct command_option {
    std::string name;
    // May throw std::exception for a value that it cannot read.
    std::function<void(const std::string& value)> set;
    // A flag takes no value and is set with an empty one.
    bool isFlag = false;
};

// Options that only store their value.
command_option textOption(std::string name, std::string& target);
command_option flagOption(std::string name, bool& target);
command_option numberOption(std::string name, std::uint64_t& target);
command_option fractionOption(std::string name, double& target);
command_option millisecondsOption(std::string name, std::chrono::microseconds& target);

// Reads every option of argv[1] on; throws std::invalid_argument that names the
// option at fault.
void parseOptions(int argc, char** argv, const std::vector<command_option>&);

// Cuts a list at each separator; an empty text is an empty list.
std::vector<std::string> split(const std::string& text, char separator);

// Reads milliseconds, which may have a fraction.
std::chrono::microseconds parseMilliseconds(const std::string& text);

}
