#include "decision/ticket_ledger.h"

#include <algorithm>

namespace vanillashunt {

ticket_ledger::ticket_ledger(std::uint64_t incarnation, std::chrono::steady_clock::time_point started, ticket_ledger_rules rules)
    : m_rules(rules)
    , m_incarnation(incarnation)
    , m_started(started)
{
}

std::chrono::milliseconds ticket_ledger::uptime(std::chrono::steady_clock::time_point now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started);
}

ticket_state ticket_ledger::begin(const ticket& permit, std::chrono::steady_clock::time_point now)
{
    if (m_rules.foreignNeverRuns && permit.home != m_incarnation) {
        return ticket_state::Foreign;
    }
    // A validity beyond that of any minted ticket would outlast the record of its run.
    auto age = uptime(now);
    if (permit.validUntil <= age || permit.validUntil > age + 2 * ticketLifetime) {
        return ticket_state::Expired;
    }
    auto found = m_entries.try_emplace(permit.nonce, entry { ticket_state::Superseded, permit.validUntil, permit.use }).first;
    auto& known = found->second;
    // The same nonce with a longer validity must be remembered until then.
    known.validUntil = std::max(known.validUntil, permit.validUntil);
    if (known.state != ticket_state::Superseded) {
        return known.state;
    }
    if (permit.use < known.minUse) {
        // The caller is told that the call was not run and never will be. That has to hold for
        // an attempt with the later use number, too, which may be in transit.
        refused(permit.nonce);
        return known.state;
    }
    known.state = ticket_state::Running;
    known.minUse = permit.use;
    return ticket_state::Run;
}

void ticket_ledger::ran(std::uint64_t nonce)
{
    m_entries.at(nonce).state = ticket_state::Ran;
    if (!m_rules.remembersRuns) {
        m_entries.erase(nonce);
    }
}

void ticket_ledger::lost(std::uint64_t nonce)
{
    m_entries.at(nonce).state = ticket_state::Lost;
}

void ticket_ledger::refused(std::uint64_t nonce)
{
    auto& known = m_entries.at(nonce);
    known.state = ticket_state::Superseded;
    if (m_rules.refusalEndsUse) {
        ++known.minUse;
    }
}

void ticket_ledger::handOver(std::uint64_t nonce, const ticket& successor)
{
    m_entries.at(nonce).state = ticket_state::HandedOver;
    if (m_rules.oneSuccessor) {
        m_successors.emplace(nonce, successor);
    } else {
        m_successors.insert_or_assign(nonce, successor);
    }
}

const ticket* ticket_ledger::successor(std::uint64_t nonce) const
{
    auto found = m_successors.find(nonce);
    return found == m_successors.end() ? nullptr : &found->second;
}

std::uint32_t ticket_ledger::nextUse(std::uint64_t nonce) const
{
    auto found = m_entries.find(nonce);
    return found == m_entries.end() ? 0 : found->second.minUse;
}

std::vector<std::uint64_t> ticket_ledger::forgetExpired(std::chrono::steady_clock::time_point now)
{
    std::vector<std::uint64_t> forgotten;
    auto age = uptime(now);
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        bool keep = position->second.validUntil > age || position->second.state == ticket_state::Running;
        if (keep) {
            ++position;
            continue;
        }
        forgotten.push_back(position->first);
        m_successors.erase(position->first);
        position = m_entries.erase(position);
    }
    return forgotten;
}

}
