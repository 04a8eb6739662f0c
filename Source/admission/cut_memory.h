#pragma once

#include "decision/shedding_position.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// The cut that a kind of request met lately, on the call chain that it goes down.
struct remembered_cut {
    shedding_position cut = 0;
    // When the refusing node wanted its callers back.
    std::chrono::milliseconds retryAfter { 0 };
    // Since the news of it came.
    std::chrono::milliseconds age { 0 };
};

// What an entrance remembers of the cuts that came back with answers. The last
// answer counts: where the servers of a service differ, requests are refused in
// the proportion in which the servers would. Without news a cut fades.
class cut_memory {
public:
    void learn(const std::string& kind, const remembered_cut&, std::chrono::steady_clock::time_point now);

    // Nothing is remembered: cut 0.
    remembered_cut get(const std::string& kind, std::chrono::steady_clock::time_point now) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        double cut = 0;
        std::chrono::milliseconds retryAfter { 0 };
        std::chrono::steady_clock::time_point learned;
    };

    void forgetFaded(std::chrono::steady_clock::time_point now);

    std::unordered_map<std::string, entry> m_entries;
};

}
