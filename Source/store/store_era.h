#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace vanillashunt {

// What an answer's era says of the answer.
enum class era_standing {
    Current,
    // The store came back from an older copy between the last answer and this one.
    Returned,
    // The answer was under way when the store came back: what it tells is gone.
    Earlier,
};

// The eras of the platform's store: each return from an older copy begins one.
class store_era {
public:
    using time_point = std::chrono::steady_clock::time_point;

    era_standing observe(std::int64_t era, time_point now);

    // Nothing while no answer told one.
    std::optional<std::int64_t> latest() const { return m_latest; }

private:
    std::optional<std::int64_t> m_latest;
    time_point m_lastSeen;
};

}
