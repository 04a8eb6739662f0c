#include "command/contract_command.h"

#include "command/command_line.h"
#include "command/contract_check.h"
#include "command/contract_explain.h"

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt contract check|explain ...

  check FILE ...     checks contract files
  explain FILE ...   shows how limits follow from contract files

'vanillashunt contract check --help' and so on tell more.
)";

    command_table contractCommands()
    {
        return {
            contractCheck(),
            contractExplain(),
        };
    }

    exit_code run(const command& self, const command_arguments& arguments)
    {
        return runNamedCommand(self, contractCommands(), arguments);
    }

}

command contractCommand()
{
    return { "contract", "works on the contracts of customers", help, run };
}

}
