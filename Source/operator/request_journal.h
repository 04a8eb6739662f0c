#pragma once

#include "call/call_observation.h"

#include <json/value.h>

#include <chrono>
#include <cstddef>
#include <string>
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
// request. A bound on their number bounds its memory.
class request_journal {
public:
    explicit request_journal(std::size_t capacity);

    void record(const call_observation&);

    // The decisions on one request that are still remembered, the oldest first.
    std::vector<journal_entry> find(const std::string& requestId) const;

    std::size_t size() const { return m_entries.size(); }

private:
    std::size_t m_capacity;
    // A ring: once it is full, m_next is the oldest.
    std::vector<journal_entry> m_entries;
    std::size_t m_next = 0;
};

// Writes the decisions as the method explain answers them.
Json::Value toJson(const std::vector<journal_entry>&, std::chrono::steady_clock::time_point now);

}
