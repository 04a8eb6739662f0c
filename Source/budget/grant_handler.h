#pragma once

#include "budget/byte_budget.h"

#include <memory>

namespace vanillashunt {

// Returns a handler that calls the method of the owner, unless the owner is gone.
template <typename Owner>
byte_grant_handler grantHandler(const std::weak_ptr<Owner>& weakOwner, void (Owner::*method)(byte_grant))
{
    return [weakOwner, method](byte_grant grant) {
        if (auto owner = weakOwner.lock()) {
            (owner.get()->*method)(grant);
        }
    };
}

}
