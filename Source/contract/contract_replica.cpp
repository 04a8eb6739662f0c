#include "contract/contract_replica.h"

#include "contract/parse_contract.h"

#include <algorithm>

namespace vanillashunt {

bool contract_replica::mergeEntry(const contract_entry& entry, contract_set& next)
{
    auto parsed = parseContract(entry.text, "contract");
    const auto* terms = std::get_if<contract>(&parsed);
    if (!terms) {
        ++m_unreadable;
        return false;
    }
    auto& known = next.byOrganisation[terms->organisation];
    if (entry.revision <= known.revision) {
        return false;
    }
    known = { *terms, entry.text, entry.revision };
    return true;
}

bool contract_replica::merge(const contract_update& update)
{
    auto next = std::make_shared<contract_set>(*m_contracts);
    bool changed = false;
    for (const auto& entry : update.entries) {
        // Contracts up to the replica's own revision are known and need no parsing.
        if (entry.revision <= m_contracts->revision) {
            continue;
        }
        changed = mergeEntry(entry, *next) || changed;
    }
    // An update that starts after the replica's revision may leave a gap. Raising the
    // revision would hide the gap from later requests for missing contracts.
    if (update.since <= m_contracts->revision && update.revision > m_contracts->revision) {
        next->revision = update.revision;
        changed = true;
    }
    if (changed) {
        m_contracts = next;
    }
    return changed;
}

contract_update contract_replica::updateSince(std::int64_t revision) const
{
    contract_update update;
    update.since = revision;
    update.revision = m_contracts->revision;
    for (const auto& [organisation, stored] : m_contracts->byOrganisation) {
        if (stored.revision > revision) {
            update.entries.push_back({ stored.text, stored.revision });
        }
    }
    return update;
}

}
