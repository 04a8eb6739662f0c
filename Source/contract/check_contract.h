#pragma once

#include "contract/contract.h"
#include "contract/text_problem.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Minimum time that one attempt needs. A deadline must leave this much for the first
// attempt and for each retry.
constexpr std::chrono::milliseconds minAttemptTime { 10 };

// Returns an error message if the deadline of a class leaves too little time for its retries.
std::optional<std::string> findImpossibleDeadline(const request_class&);

// Checks a contract, whose keys are each valid, against the contracts of the other
// organisations. It replaces a contract of the same organisation, which is therefore
// ignored. For each service where a class of the contract enters, the shares of all
// organisations with a class that enters there must add up to at most 1.
std::vector<text_problem> checkAgainstOthers(const contract&, const contract_set& others, const std::string& fileName = "");

}
