#pragma once

#include "decision/ticket.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// What a ledger says of a call that comes with a ticket.
enum class ticket_state {
    Run, // Not seen before: it may run now, and only now.
    Running, // An earlier attempt is running or waits to run.
    Ran, // An earlier attempt ran to its end.
    Lost, // An earlier attempt may have run, and its answer never came.
    Superseded, // This use was refused before; the ticket has a later one now.
    HandedOver, // It never runs here: another ticket, of another home, stands for it.
    Foreign, // The ticket names another incarnation, so nobody here can know.
    Expired, // Too old to be remembered, so nobody can know.
};

// The rules that at-most-once rests on. Only tests switch one off, to see that
// they would notice.
struct ticket_ledger_rules {
    // A refusal ends the use of the ticket that it refused.
    bool refusalEndsUse = true;
    // A ticket of another incarnation never runs.
    bool foreignNeverRuns = true;
    // A ticket is remembered after its run.
    bool remembersRuns = true;
    // One successor at most stands for a ticket that was handed over.
    bool oneSuccessor = true;
};

// The home's memory of the tickets that it has seen, which makes each
// non-idempotent call run at most once. It needs no disk: a ticket names one
// incarnation of one process, and the ledger lives exactly as long.
class ticket_ledger {
public:
    // The incarnation that this ledger is for, and when its process started.
    ticket_ledger(std::uint64_t incarnation, std::chrono::steady_clock::time_point started, ticket_ledger_rules = {});

    // Claims the ticket for one run if nothing stands against it.
    ticket_state begin(const ticket&, std::chrono::steady_clock::time_point now);

    // Each ends a claim; the ticket cannot be claimed again.
    void ran(std::uint64_t nonce);
    void lost(std::uint64_t nonce);
    // For a call that was refused before it ran: ends this use, since an attempt
    // that is still on its way must not run after the caller was told that it was
    // not run. Only the next use can be claimed from now on.
    void refused(std::uint64_t nonce);

    // For a call that was refused before it ran at a home that can run nothing more: from now
    // on the successor stands for its ticket, which never runs here. A ticket that was handed
    // over already keeps its first successor.
    void handOver(std::uint64_t nonce, const ticket& successor);

    // The ticket that stands for one that was handed over; null for any other.
    const ticket* successor(std::uint64_t nonce) const;

    // The least use that can be claimed; 0 for a nonce that is not known.
    std::uint32_t nextUse(std::uint64_t nonce) const;

    // Forgets the tickets that are refused as expired from now on; returns their nonces.
    std::vector<std::uint64_t> forgetExpired(std::chrono::steady_clock::time_point now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        ticket_state state;
        std::chrono::milliseconds validUntil;
        std::uint32_t leastUse;
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
