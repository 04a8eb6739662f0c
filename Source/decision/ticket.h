#pragma once

#include "decision/member.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Permission to run one non-idempotent call at one node, its home, identified by the
// node's incarnation. No other node runs the call, so a wrong view of the membership
// cannot cause a second run.
struct ticket {
    // Incarnation of the home node: random, new at each process start.
    std::uint64_t home = 0;
    // The home's uptime from which on it refuses the ticket.
    std::chrono::milliseconds validUntil { 0 };
    // Random; identifies the call in the home's ledger.
    std::uint64_t nonce = 0;
    // The use number, incremented by the home with each refusal. An attempt with a lower
    // number that is still in transit when the caller is told "not run" never runs.
    std::uint32_t use = 0;
    // Whether a claim in the platform's store names this ticket, so that no other ticket
    // may be used for the same request.
    bool claimed = false;
};

// How long a ticket may be used after it was minted. Longer than any deadline that a
// contract may set, so that a caller can repeat a request whose answer was lost.
constexpr std::chrono::milliseconds ticketLifetime { 120000 };

// Mints a ticket for a home. Its validity is based on this node's estimate of the home's
// uptime; an error in the estimate makes the ticket expire early or late, but never causes
// a second run.
ticket mintTicket(const member& home, std::uint64_t nonce, std::chrono::steady_clock::time_point now);

inline bool operator==(const ticket& a, const ticket& b)
{
    return a.home == b.home && a.validUntil == b.validUntil && a.nonce == b.nonce && a.use == b.use && a.claimed == b.claimed;
}

// The text form for a header: hexadecimal fields.
std::string toString(const ticket&);

// Returns nullopt for a text that toString does not produce.
std::optional<ticket> parseTicket(const std::string& text);

}
