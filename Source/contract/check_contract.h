#pragma once

#include "contract/contract.h"
#include "contract/text_problem.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Time that a try needs at the very least; a deadline has to hold one for the
// first try and for each retry.
constexpr std::chrono::milliseconds leastTryTime { 10 };

// Says what is wrong with a class whose deadline leaves no time for its retries.
std::optional<std::string> findImpossibleDeadline(const request_class&);

// Checks a contract, each part of which is allowed, beside the contracts of the
// other organisations; one of the same organisation is taken as replaced. For each
// service where a class of the contract enters, the shares of all organisations
// with a class that enters there must add up to at most 1.
std::vector<text_problem> checkAgainstOthers(const contract&, const contract_set& others, const std::string& fileName = "");

}
