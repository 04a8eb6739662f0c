#pragma once

#include "decision/shedding_position.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// The cut that requests with the same key met recently on their call chain.
struct remembered_cut {
    shedding_position cut = 0;
    // The retry delay that the refusing node advised.
    std::chrono::milliseconds retryAfter { 0 };
    // Time since the cut was recorded.
    std::chrono::milliseconds age { 0 };
};

// Stores the cuts that answers carried back to an entrance. Only the last answer counts:
// if the servers of a service differ, requests are refused in the same proportion as the
// servers would refuse them. A cut decays unless it is recorded again.
class cut_memory {
public:
    void record(const std::string& key, const remembered_cut&, std::chrono::steady_clock::time_point now);

    // Returns cut 0 if nothing is recorded for the key.
    remembered_cut get(const std::string& key, std::chrono::steady_clock::time_point now) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        double cut = 0;
        std::chrono::milliseconds retryAfter { 0 };
        std::chrono::steady_clock::time_point recorded;
    };

    void removeExpired(std::chrono::steady_clock::time_point now);

    std::unordered_map<std::string, entry> m_entries;
};

}
