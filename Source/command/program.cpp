#include "command/program.h"

#include "command/check_settings_command.h"
#include "command/command_line.h"
#include "command/contract_command.h"
#include "command/dump_command.h"
#include "command/explain_command.h"
#include "command/node_command.h"
#include "command/quota_command.h"
#include "command/routed_node_command.h"
#include "command/status_command.h"
#include "command/stop_command.h"
#include "command/version_command.h"

#include <iomanip>
#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* programHelp = R"(usage: vanillashunt COMMAND ...

'vanillashunt help' lists the commands, 'vanillashunt COMMAND --help' tells of one.
)";

    constexpr const char* helpHelp = R"(usage: vanillashunt help [COMMAND ...]

Lists the commands, or tells of one.
)";

    exit_code runHelp(const command&, const command_arguments&);
    exit_code runAny(const command&, const command_arguments&);

    command programCommand()
    {
        return { "", "", programHelp, runAny };
    }

    command_table programCommands()
    {
        return {
            nodeCommand(),
            routedNodeCommand(),
            contractCommand(),
            stopCommand(),
            statusCommand(),
            dumpCommand(),
            explainCommand(),
            quotaCommand(),
            checkSettingsCommand(),
            versionCommand(),
            { "help", "lists the commands, or tells of one", helpHelp, runHelp },
        };
    }

    exit_code runAny(const command& self, const command_arguments& arguments)
    {
        return runNamedCommand(self, programCommands(), arguments);
    }

    void listCommands()
    {
        constexpr int nameWidth = 16;
        std::cout << "usage: vanillashunt COMMAND ...\n\n";
        for (const auto& each : programCommands()) {
            std::cout << "  " << std::left << std::setw(nameWidth) << each.path << each.summary << '\n';
        }
        std::cout << "\n'vanillashunt COMMAND --help' tells of one command.\n"
                     "Exit codes: 0 done, 2 wrong usage, 3 refused, 4 not known, 5 unreachable.\n";
    }

    exit_code runHelp(const command& self, const command_arguments& arguments)
    {
        auto read = readCommandLine(self, arguments, {});
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        auto words = std::get<std::vector<std::string>>(read);
        if (words.empty()) {
            listCommands();
            return exit_code::Ok;
        }
        words.push_back("--help");
        return runAny(programCommand(), words);
    }

}

int runProgram(const command_arguments& arguments)
{
    return static_cast<int>(runAny(programCommand(), arguments));
}

}
