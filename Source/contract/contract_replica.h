#pragma once

#include "contract/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// A contract as received from the store or a peer, not yet parsed.
struct contract_entry {
    std::string text;
    // The store's revision of the write that accepted it.
    std::int64_t revision = 0;
};

// Contracts as sent by the store or a peer: at least those that changed after the store
// revision "since".
struct contract_update {
    std::vector<contract_entry> entries;
    // A receiver that is complete up to "since" is complete up to "revision" with the entries.
    std::int64_t since = 0;
    std::int64_t revision = 0;
};

// The newest contracts that this node has received, merged from the store and from peers.
// Neither a single contract nor the replica as a whole ever returns to a lower revision,
// whatever the store answers.
class contract_replica {
public:
    // Merges the contracts that are newer than the known ones. Returns whether the replica changed.
    bool merge(const contract_update&);

    // Returns what a peer lacks that is complete up to the given revision.
    contract_update updateSince(std::int64_t revision) const;

    contract_snapshot contracts() const { return m_contracts; }
    std::int64_t revision() const { return m_contracts->revision; }

    // Number of times since the start that an entry could not be parsed as a contract.
    std::uint64_t unreadable() const { return m_unreadable; }

private:
    bool mergeEntry(const contract_entry&, contract_set& next);

    contract_snapshot m_contracts = std::make_shared<contract_set>();
    std::uint64_t m_unreadable = 0;
};

}
