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

// One difference between two contracts.
struct contract_difference {
    contract_change change = contract_change::ClassChanged;
    // Empty if the change does not belong to a class.
    std::string requestClass;
    // The key as the contract file names it; empty for a class added or removed.
    std::string key;
    // The two values as the contract file writes them; for a class that was added or removed,
    // its method, service, path, importance and deadline.
    std::string before;
    std::string after;
};

// Describes the difference, for example "class desk-reply deadline 2s -> 3s".
std::string toString(const contract_difference&);

// Returns the differences between two contracts. Classes are matched by name.
std::vector<contract_difference> diffContracts(const contract& before, const contract& after);

// Returns the error message for an operator whose change was made to the revision "base",
// while somebody else has changed the contract to "current": what differs and what to do.
std::string describeConcurrentChange(const stored_contract& base, const stored_contract& current);

}
