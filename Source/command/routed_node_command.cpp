#include "command/routed_node_command.h"

#include "command/command_line.h"
#include "command/settings_file.h"
#include "contract/quantity.h"
#include "node/routed_process.h"
#include "settings/node_settings.h"

#include <cstdlib>
#include <iostream>

namespace vanillashunt {

namespace {

    // Where the platform says where the settings file is.
    constexpr const char* settingsVariable = "VANILLASHUNT_CONFIG";

    constexpr const char* help = R"(usage: vanillashunt routed-node [--memory SIZE] [FILE]

Runs one node that serves the routes of the platform's configuration, with the
settings file FILE, or the one that VANILLASHUNT_CONFIG names, in the
foreground, until SIGTERM: then it is no longer ready, finishes what it has and
exits with 0. SIGHUP has it read the file again.

  --memory SIZE  memory that the process may use, in whole B, KiB or MiB,
                 instead of memory from [limits] of the settings

The settings need the section [routes]. Logs go to standard output.
)";

    exit_code run(const command& self, const command_arguments& arguments)
    {
        std::optional<std::uint64_t> memory;
        auto takeMemory = [&memory](const std::string& value) -> std::optional<std::string> {
            memory = parseSize(value);
            bool isAccepted = memory && *memory >= minMemoryBytes;
            return isAccepted ? std::nullopt : std::optional("is '" + value + "'; give a size of at least " + formatSize(minMemoryBytes) + ", for example 256MiB");
        };
        auto read = readCommandLine(self, arguments, { { "memory", true, takeMemory } });
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
        auto& whole = std::get<node_settings>(settings);
        whole.memoryBytes = memory.value_or(whole.memoryBytes);
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
