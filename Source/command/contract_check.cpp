#include "command/contract_check.h"

#include "command/command_line.h"
#include "command/contract_files.h"
#include "contract/check_contract.h"

#include <iostream>

namespace vanillashunt {

namespace {

    constexpr const char* help = R"(usage: vanillashunt contract check FILE ...

Reads contract files and checks each beside the others: their customers' shares
of a service may add up to 1 at most. Asks no node.

Exit codes: 0 all are in order, 2 a file cannot be read, 3 a contract is wrong;
each problem is told on standard error.
)";

    bool isInOrder(const contract_file& file, const contract_set& all)
    {
        auto problems = checkAgainstOthers(file.terms, all, file.fileName);
        reportProblems(problems);
        return problems.empty();
    }

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
        auto code = exit_code::Ok;
        const auto& contracts = std::get<std::vector<contract_file>>(files);
        auto all = contractSetOf(contracts);
        for (const auto& file : contracts) {
            if (!isInOrder(file, all)) {
                code = exit_code::Refused;
                continue;
            }
            std::cout << file.fileName << ": the contract of customer '" << file.terms.organisation << "' is in order\n";
        }
        return code;
    }

}

command contractCheck()
{
    return { "contract check", "checks contract files", help, run };
}

}
