#pragma once

#include "decision/ticket.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// The state of a ticket in its home's ledger, which decides what becomes of a call with it.
enum class ticket_state {
    Run, // Not claimed yet: this attempt may run now, and no other.
    Running, // An earlier attempt is running or waits to run.
    Ran, // An earlier attempt completed.
    Lost, // An earlier attempt may have run, but its answer was lost.
    Superseded, // The call's use number was refused before; only a later one may run.
    HandedOver, // Never runs here: a ticket for another home replaces it.
    Foreign, // The ticket names another incarnation, so it is unknown whether it ran.
    Expired, // No longer remembered, so it is unknown whether it ran.
};

// The rules that at-most-once execution depends on. Tests disable single rules to check
// that they detect the resulting violations; they are never disabled otherwise.
struct ticket_ledger_rules {
    // A refusal invalidates the use number that was refused.
    bool refusalEndsUse = true;
    // A ticket of another incarnation never runs.
    bool foreignNeverRuns = true;
    // A ticket is remembered after it ran.
    bool remembersRuns = true;
    // A ticket that was handed over has one successor at most.
    bool oneSuccessor = true;
};

// Records the tickets that a home node has seen, so that each non-idempotent call runs at
// most once. Needs no persistence: a ticket names one incarnation of one process, and the
// ledger lives as long as that process.
class ticket_ledger {
public:
    // The incarnation of this node's process and the time at which the process started.
    ticket_ledger(std::uint64_t incarnation, std::chrono::steady_clock::time_point started, ticket_ledger_rules = {});

    // Claims the ticket for one run and returns Run, or returns why it cannot be claimed.
    ticket_state begin(const ticket&, std::chrono::steady_clock::time_point now);

    // Each of these two ends a claim; the ticket cannot be claimed again.
    void ran(std::uint64_t nonce);
    void lost(std::uint64_t nonce);
    // Ends the claim of a call that was refused before it ran, and invalidates its use number:
    // an attempt that is still in transit must not run after the caller was told that the
    // call was not run. Only the next use number can be claimed from now on.
    void refused(std::uint64_t nonce);

    // For a call that was refused before it ran, at a home that can run no more calls: the
    // successor replaces its ticket, which never runs here. A ticket that was handed over
    // already keeps its first successor.
    void handOver(std::uint64_t nonce, const ticket& successor);

    // The ticket that replaces one that was handed over; null for any other ticket.
    const ticket* successor(std::uint64_t nonce) const;

    // The lowest use number that can be claimed; 0 for an unknown nonce.
    std::uint32_t nextUse(std::uint64_t nonce) const;

    // Removes expired tickets that are not running, which begin() rejects from now on. Returns their
    // nonces.
    std::vector<std::uint64_t> forgetExpired(std::chrono::steady_clock::time_point now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        ticket_state state;
        std::chrono::milliseconds validUntil;
        std::uint32_t minUse;
    };

    std::chrono::milliseconds uptime(std::chrono::steady_clock::time_point now) const;

    ticket_ledger_rules m_rules;
    std::uint64_t m_incarnation;
    std::chrono::steady_clock::time_point m_started;
    std::unordered_map<std::uint64_t, entry> m_entries;
    // By the nonce of the ticket that was handed over.
    std::unordered_map<std::uint64_t, ticket> m_successors;
};

}
