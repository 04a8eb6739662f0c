#pragma once

#include "decision/ticket.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// What a ledger says of a call that comes with a ticket.
enum class ledger_finding {
    Run, // Not seen before: it may run now, and only now.
    Running, // An earlier attempt is running or waits to run.
    Ran, // An earlier attempt ran to its end.
    Lost, // An earlier attempt may have run, and its answer never came.
    Burnt, // An earlier attempt was refused; the ticket can never be used again.
    Foreign, // The ticket names another incarnation, so nobody here can know.
    Expired, // Too old to be remembered, so nobody can know.
};

// The home's memory of the tickets that it has seen, which makes each
// non-idempotent call run at most once. It needs no disk: a ticket names one
// incarnation of one process, and the ledger lives exactly as long.
class once_ledger {
public:
    // The incarnation that this ledger is for, and when its process started.
    once_ledger(std::uint64_t incarnation, std::chrono::steady_clock::time_point started);

    // Claims the ticket for one run if nothing stands against it.
    ledger_finding begin(const ticket&, std::chrono::steady_clock::time_point now);

    // Each ends a claim; the ticket cannot be claimed again.
    void ran(std::uint64_t nonce);
    void lost(std::uint64_t nonce);
    // For a call that was refused before it ran: an attempt of it that is still
    // on its way must not run after the caller was told that it was not run.
    void burn(std::uint64_t nonce);

    // Forgets the tickets that are refused as expired from now on; returns their nonces.
    std::vector<std::uint64_t> forgetExpired(std::chrono::steady_clock::time_point now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        ledger_finding state;
        std::chrono::milliseconds validUntil;
    };

    std::chrono::milliseconds uptime(std::chrono::steady_clock::time_point now) const;

    std::uint64_t m_incarnation;
    std::chrono::steady_clock::time_point m_started;
    std::unordered_map<std::uint64_t, entry> m_entries;
};

}
