#pragma once

#include "contract/contract.h"

#include <set>
#include <string>

namespace vanillashunt {

// Returns whether a class of the contract enters at the service.
bool entersAt(const contract&, const std::string& service);

// Returns the services where the contract's classes enter.
std::set<std::string> entryServices(const contract&);

}
