#include "decision/once_ledger.h"

#include <algorithm>

namespace vanillashunt {

once_ledger::once_ledger(std::uint64_t incarnation, std::chrono::steady_clock::time_point started, once_rules rules)
    : m_rules(rules)
    , m_incarnation(incarnation)
    , m_started(started)
{
}

std::chrono::milliseconds once_ledger::uptime(std::chrono::steady_clock::time_point now) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started);
}

ledger_finding once_ledger::begin(const ticket& permit, std::chrono::steady_clock::time_point now)
{
    if (m_rules.foreignNeverRuns && permit.home != m_incarnation) {
        return ledger_finding::Foreign;
    }
    // A time of validity that nobody can have minted would outlive the memory of its run.
    auto age = uptime(now);
    if (permit.validUntil <= age || permit.validUntil > age + 2 * ticketLifetime) {
        return ledger_finding::Expired;
    }
    auto found = m_entries.try_emplace(permit.nonce, entry { ledger_finding::Superseded, permit.validUntil, permit.use }).first;
    auto& known = found->second;
    // The same nonce with a later time must not be forgotten before that time.
    known.validUntil = std::max(known.validUntil, permit.validUntil);
    if (known.state != ledger_finding::Superseded) {
        return known.state;
    }
    if (permit.use < known.leastUse) {
        // The caller is told that nothing has run or will: that has to hold for an attempt with
        // the later use, too, that may be on its way.
        refused(permit.nonce);
        return known.state;
    }
    known.state = ledger_finding::Running;
    known.leastUse = permit.use;
    return ledger_finding::Run;
}

void once_ledger::ran(std::uint64_t nonce)
{
    m_entries.at(nonce).state = ledger_finding::Ran;
    if (!m_rules.remembersRuns) {
        m_entries.erase(nonce);
    }
}

void once_ledger::lost(std::uint64_t nonce)
{
    m_entries.at(nonce).state = ledger_finding::Lost;
}

void once_ledger::refused(std::uint64_t nonce)
{
    auto& known = m_entries.at(nonce);
    known.state = ledger_finding::Superseded;
    if (m_rules.refusalEndsUse) {
        ++known.leastUse;
    }
}

void once_ledger::handOver(std::uint64_t nonce, const ticket& successor)
{
    m_entries.at(nonce).state = ledger_finding::HandedOver;
    if (m_rules.oneSuccessor) {
        m_successors.emplace(nonce, successor);
    } else {
        m_successors.insert_or_assign(nonce, successor);
    }
}

const ticket* once_ledger::successor(std::uint64_t nonce) const
{
    auto found = m_successors.find(nonce);
    return found == m_successors.end() ? nullptr : &found->second;
}

std::uint32_t once_ledger::nextUse(std::uint64_t nonce) const
{
    auto found = m_entries.find(nonce);
    return found == m_entries.end() ? 0 : found->second.leastUse;
}

std::vector<std::uint64_t> once_ledger::forgetExpired(std::chrono::steady_clock::time_point now)
{
    std::vector<std::uint64_t> forgotten;
    auto age = uptime(now);
    for (auto position = m_entries.begin(); position != m_entries.end();) {
        bool keep = position->second.validUntil > age || position->second.state == ledger_finding::Running;
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
