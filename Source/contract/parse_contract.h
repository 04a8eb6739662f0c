#pragma once

#include "contract/contract.h"
#include "contract/text_problem.h"

#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

using parse_contract_result = std::variant<contract, std::vector<text_problem>>;

// Parses one contract from TOML. Returns either the contract or all problems found in the text.
// The file name is only used in the problems.
parse_contract_result parseContract(const std::string& text, const std::string& fileName);

}
