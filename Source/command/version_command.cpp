#include "command/version_command.h"

#include "command/command_line.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt version

Prints the version of the program.
)";

    exit_code run(const command& self, const command_arguments& arguments)
    {
        auto read = readCommandLine(self, arguments, {});
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        if (!std::get<std::vector<std::string>>(read).empty()) {
            return reportUsage(self, "takes no words");
        }
        std::cout << "vanillashunt " << VANILLASHUNT_VERSION << '\n';
        return exit_code::Ok;
    }

}

command versionCommand()
{
    return { "version", "prints the version", help, run };
}

}
