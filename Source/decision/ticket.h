#pragma once

#include "decision/member.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Permission to run one non-idempotent call, at one home only: the node whose
// incarnation it names. No other node ever runs it, so no view of membership
// can make a second run.
struct ticket {
    // Incarnation of the home node: random, new at each process start.
    std::uint64_t home = 0;
    // Time since the home's start after which the home refuses the ticket.
    std::chrono::milliseconds validUntil { 0 };
    // Random; names the call in the home's ledger.
    std::uint64_t nonce = 0;
    // Raised by the home with each refusal: an attempt with a lesser use, still on
    // its way when the caller was told "not run", never runs.
    std::uint32_t use = 0;
    // Whether a claim in the platform's store names this ticket, so that no other
    // ticket may ever stand for the same request.
    bool claimed = false;
};

// How long a ticket may be used after it was minted. Longer than any deadline
// that a contract may set, so that a caller can ask again after a lost answer.
constexpr std::chrono::milliseconds ticketLifetime { 120000 };

// Mints a ticket for a home, by what this node knows of the home's age. An
// error in it makes the ticket end early or late, and never makes a second run.
ticket mintTicket(const member& home, std::uint64_t nonce, std::chrono::steady_clock::time_point now);

inline bool operator==(const ticket& a, const ticket& b)
{
    return a.home == b.home && a.validUntil == b.validUntil && a.nonce == b.nonce && a.use == b.use && a.claimed == b.claimed;
}

// The form that callers carry in a header: hexadecimal fields.
std::string toString(const ticket&);

// Returns nothing for a text that toString cannot have made.
std::optional<ticket> parseTicket(const std::string& text);

}
