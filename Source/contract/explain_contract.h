#pragma once

#include "contract/contract.h"

#include <optional>
#include <string>

namespace vanillashunt {

// Shows how each limit of an organisation is derived from its contract, one line with the
// formula for each. Returns nothing if the organisation has no contract in force.
std::optional<std::string> explainContract(const contract_set&, const std::string& organisation);

}
