#pragma once

#include "contract/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// A contract as the store or a peer tells of it, not yet read.
struct contract_entry {
    std::string text;
    // The store's revision of the write that accepted it.
    std::int64_t revision = 0;
};

// Contracts that the store or a peer has.
struct contract_update {
    std::vector<contract_entry> entries;
    // With the entries, whoever knew all up to the revision "since" knows all up to this.
    std::int64_t since = 0;
    std::int64_t revision = 0;
};

// The newest contracts that this node has seen. Neither a contract nor the
// whole ever goes back to a lower revision, whatever the store answers.
class contract_replica {
public:
    // Takes what is newer; returns whether anything was.
    bool merge(const contract_update&);

    // What somebody needs who has all up to that revision.
    contract_update updateSince(std::int64_t revision) const;

    contract_snapshot contracts() const { return m_contracts; }
    std::int64_t revision() const { return m_contracts->revision; }

    // How often an entry could not be read as a contract, since the start.
    std::uint64_t unreadable() const { return m_unreadable; }

private:
    bool mergeEntry(const contract_entry&, contract_set& next);

    contract_snapshot m_contracts = std::make_shared<contract_set>();
    std::uint64_t m_unreadable = 0;
};

}
