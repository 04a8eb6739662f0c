#include "command/contract_explain.h"

#include "command/command_line.h"
#include "command/contract_files.h"
#include "contract/explain_contract.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt contract explain FILE ...

Shows how each limit follows from the contracts in the files, as if these were
all the contracts in force. Asks no node.

Exit codes: 0 done, 2 a file cannot be read, 3 a contract is wrong; each problem
is told on standard error.
)";

    exit_code run(const command& self, const command_arguments& arguments)
    {
        auto read = readCommandLine(self, arguments, {});
        if (auto* ended = std::get_if<exit_code>(&read)) {
            return *ended;
        }
        auto files = readContractFiles(self, std::get<std::vector<std::string>>(read));
        if (auto* problem = std::get_if<exit_code>(&files)) {
            return *problem;
        }
        auto contracts = contractSetOf(std::get<std::vector<contract_file>>(files));
        for (const auto& [organisation, stored] : contracts.byOrganisation) {
            std::cout << explainContract(contracts, organisation).value_or("");
        }
        return exit_code::Ok;
    }

}

command contractExplain()
{
    return { "contract explain", "shows how limits follow from contract files", help, run };
}

}
