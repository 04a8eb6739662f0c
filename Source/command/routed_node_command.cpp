#include "command/routed_node_command.h"

#include "command/command_line.h"
#include "command/settings_file.h"
#include "node/routed_process.h"

#include <cstdlib>
#include <iostream>

namespace vanillashunt {

namespace {

    // Where the platform says where the settings file is.
    constexpr const char* settingsVariable = "VANILLASHUNT_CONFIG";

    constexpr const char* help = R"(usage: vanillashunt routed-node [FILE]

Runs one node that serves the routes of the platform's configuration, with the
settings file FILE, or the one that VANILLASHUNT_CONFIG names, in the
foreground, until SIGTERM: then it is no longer ready, finishes what it has and
exits with 0. SIGHUP has it read the file again.

The settings need the section [routes]. Logs go to standard output.
)";

    exit_code run(const command& self, const command_arguments& arguments)
    {
        auto read = readCommandLine(self, arguments, {});
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        const auto& operands = std::get<std::vector<std::string>>(read);
        const char* fromPlatform = std::getenv(settingsVariable);
        if (operands.size() > 1 || (operands.empty() && !fromPlatform)) {
            return reportUsage(self, std::string("name one settings file, or set ") + settingsVariable);
        }
        auto fileName = operands.empty() ? std::string(fromPlatform) : operands.front();
        auto settings = readSettingsFile(fileName);
        if (std::holds_alternative<exit_code>(settings)) {
            return exit_code::Usage;
        }
        const auto& whole = std::get<node_settings>(settings);
        if (!whole.routes) {
            std::cerr << fileName << ": the section [routes] is missing; add it, or use the command node\n";
            return exit_code::Usage;
        }
        auto reread = [fileName]() -> std::optional<node_settings> {
            auto again = readSettingsFile(fileName);
            auto* right = std::get_if<node_settings>(&again);
            return right ? std::optional(std::move(*right)) : std::nullopt;
        };
        return static_cast<exit_code>(runRoutedNode(whole, { fileName, reread }));
    }

}

command routedNodeCommand()
{
    return { "routed-node", "runs a node that serves a platform's routes", help, run };
}

}
