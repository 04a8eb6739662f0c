#pragma once

#include <string>
#include <vector>

namespace vanillashunt {

// What came of a command that ran to its end.
struct command_run {
    int exitCode = -1;
    // Its standard output, or its standard error; one line each ends with a newline.
    std::string text;
};

// Runs vanillashunt with these words and reads what it prints on standard output.
command_run runCommand(const std::vector<std::string>& words);

// Runs vanillashunt likewise and reads what it prints on standard error.
command_run runForErrors(const std::vector<std::string>& words);

}
