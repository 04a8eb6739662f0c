#pragma once

#include "decision/sliding_window_counter.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// Counts the requests of each organisation that this node admitted recently, for operators.
class recent_admissions {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Requests are counted over this time, except for the oldest part of it, which is just ending.
    static constexpr std::chrono::milliseconds window { 5000 };

    void add(const std::string& organisation, time_point now);

    // 0 for an organisation without admissions.
    std::uint32_t count(const std::string& organisation, time_point now) const;

    // Removes organisations without recent admissions.
    void forgetIdle(time_point now);

private:
    std::unordered_map<std::string, sliding_window_counter> m_entries;
};

}
