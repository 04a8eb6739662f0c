#include "command/check_settings_command.h"

#include "command/command_line.h"
#include "command/settings_file.h"
#include "settings/format_settings.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt check-settings FILE

Reads the settings file FILE as a node would, and prints every setting with the
value in force. Starts nothing.

Exit codes: 0 the settings are in order, 2 the file cannot be read, 3 the
settings are wrong; each problem is told on standard error.
)";

    exit_code run(const command& self, const command_arguments& arguments)
    {
        auto read = readCommandLine(self, arguments, {});
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        const auto& operands = std::get<std::vector<std::string>>(read);
        if (operands.size() != 1) {
            return reportUsage(self, "name one settings file");
        }
        auto settings = readSettingsFile(operands.front());
        if (auto* problem = std::get_if<exit_code>(&settings)) {
            return *problem;
        }
        std::cout << formatSettings(std::get<node_settings>(settings));
        return exit_code::Ok;
    }

}

command checkSettingsCommand()
{
    return { "check-settings", "checks a settings file and prints the values in force", help, run };
}

}
