#include "command/contract_command.h"

#include "command/command_line.h"
#include "command/contract_apply.h"
#include "command/contract_check.h"
#include "command/contract_explain.h"
#include "command/contract_read.h"
#include "command/contract_status.h"

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt contract check|explain|apply|get|list|diff|status ...

  check FILE ...     checks contract files
  explain FILE ...   shows how limits follow from contract files
  apply FILE         puts a contract in force
  get CUSTOMER       prints the contract that stands
  list               lists the contracts that stand
  diff FILE          shows what a file would change
  status REVISION    shows where a revision is in force

'vanillashunt contract check --help' and so on tell more.
)";

    command_table contractCommands()
    {
        return {
            contractCheck(),
            contractExplain(),
            contractApply(),
            contractGet(),
            contractList(),
            contractDiff(),
            contractStatus(),
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
