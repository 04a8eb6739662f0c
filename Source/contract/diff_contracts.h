#pragma once

#include "contract/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

enum class contract_change : std::uint8_t {
    OrganisationChanged,
    ShareChanged,
    ClassAdded,
    ClassRemoved,
    ClassChanged, // One key of a class that both contracts have.
};

// One thing in which two contracts differ.
struct contract_difference {
    contract_change change = contract_change::ClassChanged;
    // Empty for a change that is of no class.
    std::string requestClass;
    // The key as the contract file names it; empty for a class added or removed.
    std::string key;
    // Both as the contract file writes them; a class as its entry, importance and deadline.
    std::string before;
    std::string after;
};

// Words such as "class desk-reply deadline 2s -> 3s".
std::string toString(const contract_difference&);

// Finds what leads from one contract to the other. Classes are the same if their names are.
std::vector<contract_difference> diffContracts(const contract& before, const contract& after);

// Tells an operator, who changed the contract as of the first revision, what
// somebody else had changed by the second, and what to do now.
std::string describeConcurrentChange(const stored_contract& seen, const stored_contract& found);

}
