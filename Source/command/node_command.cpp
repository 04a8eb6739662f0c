#include "command/node_command.h"

#include "command/command_line.h"
#include "command/settings_file.h"
#include "node/node_process.h"

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt node FILE

Runs one node with the settings file FILE, in the foreground, until SIGTERM or
SIGINT: then it refuses new work, finishes what it has and exits with 0.

When it is ready it prints one line, a JSON object with the addresses of its
ports. Logs go to standard error.
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
        if (std::holds_alternative<exit_code>(settings)) {
            return exit_code::Usage;
        }
        return static_cast<exit_code>(runNode(std::get<node_settings>(settings)));
    }

}

command nodeCommand()
{
    return { "node", "runs a node", help, run };
}

}
