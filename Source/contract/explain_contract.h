#pragma once

#include "contract/contract.h"

#include <optional>
#include <string>

namespace vanillashunt {

// Shows how each limit of a customer follows from its contract, a line for each
// with its formula. Gives nothing for a customer without a contract in force.
std::optional<std::string> explainContract(const contract_set&, const std::string& customer);

}
