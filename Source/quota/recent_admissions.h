#pragma once

#include "decision/sliding_window_counter.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// The requests of each organisation that a node let through lately, for operators.
class recent_admissions {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Over which requests are counted, but for the part of it that is just ending.
    static constexpr std::chrono::milliseconds window { 5000 };

    void add(const std::string& organisation, time_point now);

    // 0 for one that had none.
    std::uint32_t count(const std::string& organisation, time_point now) const;

    // Forgets organisations that had none lately.
    void forgetIdle(time_point now);

private:
    std::unordered_map<std::string, sliding_window_counter> m_entries;
};

}
