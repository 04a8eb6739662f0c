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

bool contract_replica::merge(const contract_update& news)
{
    auto next = std::make_shared<contract_set>(*m_contracts);
    bool changed = false;
    for (const auto& entry : news.entries) {
        // All up to the own revision is known, and need not be read again.
        if (entry.revision <= m_contracts->revision) {
            continue;
        }
        changed = mergeEntry(entry, *next) || changed;
    }
    // News that begin after what is known here may leave a gap, which the
    // revision must not hide from those who ask for what they lack.
    if (news.since <= m_contracts->revision && news.revision > m_contracts->revision) {
        next->revision = news.revision;
        changed = true;
    }
    if (changed) {
        m_contracts = next;
    }
    return changed;
}

contract_update contract_replica::updateSince(std::int64_t revision) const
{
    contract_update news;
    news.since = revision;
    news.revision = m_contracts->revision;
    for (const auto& [organisation, stored] : m_contracts->byOrganisation) {
        if (stored.revision > revision) {
            news.entries.push_back({ stored.text, stored.revision });
        }
    }
    return news;
}

}
