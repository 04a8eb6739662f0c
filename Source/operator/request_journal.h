#pragma once

#include "call/call_observation.h"

#include <json/value.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// One decision that a node took on a request.
struct journal_entry {
    std::string requestId;
    call_decision decision = call_decision::Attempt;
    verdict outcome;
    std::string detail;
    std::chrono::steady_clock::time_point at;
};

// The latest decisions of one node, for operators who ask what became of a
// request. A bound on their number bounds its memory: an entry takes 40 bytes, with the
// request's id as a hash and the detail as its place among
// the texts that come again and again; texts beyond their bound are not told.
class request_journal {
public:
    explicit request_journal(std::size_t capacity);

    void record(const call_observation&);

    // The decisions on one request that are still remembered, the oldest first.
    std::vector<journal_entry> find(const std::string& requestId) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct stored_entry {
        std::uint64_t requestHash = 0;
        std::chrono::steady_clock::time_point at;
        verdict outcome;
        std::uint32_t detail = 0;
        call_decision decision = call_decision::Attempt;
    };

    std::uint32_t detailIndex(const std::string&);

    std::size_t m_capacity;
    // A ring: once it is full, m_next is the oldest.
    std::vector<stored_entry> m_entries;
    std::size_t m_next = 0;
    // Names of targets and the texts that callers get.
    std::vector<std::string> m_details { "" };
    std::unordered_map<std::string, std::uint32_t> m_detailIndices { { "", 0 } };
};

// Writes the decisions as the method explain answers them.
Json::Value toJson(const std::vector<journal_entry>&, std::chrono::steady_clock::time_point now);

}
