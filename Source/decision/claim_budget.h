#pragma once

#include <chrono>
#include <cstddef>

namespace vanillashunt {

// This node's part of the claims that all nodes together may write to the
// platform's store: a token bucket whose rate falls as the fleet grows, so that
// the store's calls do not grow with it.
class claim_budget {
public:
    // Takes one claim; false where none is left now.
    bool take(std::size_t liveNodes, std::chrono::steady_clock::time_point now);

private:
    double m_tokens = 0;
    bool m_filled = false;
    std::chrono::steady_clock::time_point m_refilled;
};

}
