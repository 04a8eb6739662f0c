#pragma once

#include "contract/contract.h"
#include "contract/text_problem.h"

#include <string>
#include <variant>
#include <vector>

namespace vanillashunt {

using parse_contract_result = std::variant<contract, std::vector<text_problem>>;

// Reads one contract from TOML; reports every problem at once.
parse_contract_result parseContract(const std::string& text, const std::string& fileName);

}
