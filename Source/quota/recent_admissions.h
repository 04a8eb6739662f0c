#pragma once

#include <array>
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
    static constexpr std::size_t parts = 10;

    struct entry {
        std::array<std::uint32_t, parts> counts {};
        // Number of the newest part since the clock began.
        std::int64_t newest = 0;
    };

    static std::int64_t partAt(time_point);
    static std::uint32_t sum(const entry&, std::int64_t part);

    std::unordered_map<std::string, entry> m_entries;
};

}
