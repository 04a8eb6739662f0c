#pragma once

#include <chrono>
#include <optional>

namespace vanillashunt {

// The shortest duration seen lately: what cannot be undercut. It is forgotten
// when nothing new comes, so that a server that was slow is tried again.
class least_time {
public:
    void add(std::chrono::microseconds, std::chrono::steady_clock::time_point now);

    // Nothing while there is no recent duration.
    std::optional<std::chrono::microseconds> get(std::chrono::steady_clock::time_point now) const;

private:
    std::optional<std::chrono::microseconds> m_current;
    std::optional<std::chrono::microseconds> m_previous;
    std::chrono::steady_clock::time_point m_windowEnd;
};

}
