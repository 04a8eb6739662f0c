#pragma once

#include "contract/contract.h"

#include <optional>
#include <string>

namespace vanillashunt {

// Shows how each limit of an organisation follows from its contract, a line for each
// with its formula. Gives nothing for an organisation without a contract in force.
std::optional<std::string> explainContract(const contract_set&, const std::string& organisation);

}
