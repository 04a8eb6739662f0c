#pragma once

#include "command/command.h"
#include "contract/contract.h"
#include "contract/text_problem.h"

#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

// A contract that was read from a file.
struct contract_file {
    std::string fileName;
    std::string text;
    contract terms;
};

// Reads contract files; reports what is wrong with them on standard error.
std::variant<std::vector<contract_file>, exit_code> readContractFiles(const command&, const std::vector<std::string>& fileNames);

// The contracts of the files together, at revision 0.
contract_set contractSetOf(const std::vector<contract_file>&);

// Reports problems on standard error, one a line.
void reportProblems(const std::vector<text_problem>&);

}
