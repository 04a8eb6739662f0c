#include "command/contract_files.h"

#include "command/command_line.h"
#include "command/read_file.h"
#include "contract/parse_contract.h"

#include <algorithm>
#include <iostream>

namespace vanillashunt {

namespace {

    // Two contracts of one organisation can't both be in force.
    bool isTwice(const command& self, const contract_file& file, const std::vector<contract_file>& others)
    {
        auto found = std::find_if(others.begin(), others.end(), [&](const contract_file& other) { return other.terms.organisation == file.terms.organisation; });
        if (found == others.end()) {
            return false;
        }
        reportError(self, "'" + found->fileName + "' and '" + file.fileName + "' are both of customer '" + file.terms.organisation + "'; name one of them");
        return true;
    }

}

std::variant<std::vector<contract_file>, exit_code> readContractFiles(const command& self, const std::vector<std::string>& fileNames)
{
    if (fileNames.empty()) {
        return reportUsage(self, "name a contract file");
    }
    std::vector<contract_file> files;
    auto code = exit_code::Ok;
    for (const auto& fileName : fileNames) {
        auto text = readFile(fileName);
        if (!text) {
            reportError(self, "cannot read contract file '" + fileName + "'");
            return exit_code::Usage;
        }
        auto parsed = parseContract(*text, fileName);
        if (auto* problems = std::get_if<std::vector<text_problem>>(&parsed)) {
            reportProblems(*problems);
            code = exit_code::Refused;
            continue;
        }
        contract_file file { fileName, std::move(*text), std::move(std::get<contract>(parsed)) };
        if (isTwice(self, file, files)) {
            code = exit_code::Refused;
            continue;
        }
        files.push_back(std::move(file));
    }
    if (code != exit_code::Ok) {
        return code;
    }
    return files;
}

contract_set contractSetOf(const std::vector<contract_file>& files)
{
    contract_set contracts;
    for (const auto& file : files) {
        contracts.byOrganisation[file.terms.organisation] = { file.terms, file.text, 0 };
    }
    return contracts;
}

void reportProblems(const std::vector<text_problem>& problems)
{
    for (const auto& problem : problems) {
        std::cerr << toString(problem) << '\n';
    }
}

}
