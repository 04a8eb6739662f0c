#pragma once

#include "decision/ticket.h"
#include "store/store_client.h"

#include <chrono>
#include <functional>
#include <string>
#include <variant>

namespace vanillashunt {

// The claim was written now, so nobody had asked for the key before.
struct claim_made {
};

// An earlier claim names this ticket.
struct claim_standing {
    ticket permit;
};

// The store gave no answer, so the claim may stand or not.
struct claim_unknown {
};

using claim_result = std::variant<claim_made, claim_standing, claim_unknown>;

// Keeps, for each Idempotency-Key that came without a ticket, the one ticket that
// stands for it. A claim has no lease: one that lapsed early would let a repeat
// run a second time.
class claim_store {
public:
    explicit claim_store(store_client&);

    // Writes the ticket for the key unless another stands there.
    void claim(const std::string& organisation, const std::string& idempotencyKey, const ticket&,
        std::chrono::milliseconds timeout, std::function<void(claim_result)>);

private:
    store_client& m_store;
};

}
