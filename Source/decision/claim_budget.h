#pragma once

#include <chrono>
#include <cstddef>

namespace vanillashunt {

// This node's share of the claims that all nodes together may write to the platform's
// store: a token bucket whose rate falls as the fleet grows, so that the load on the
// store does not grow with the number of nodes.
class claim_budget {
public:
    // Takes one claim from the budget; returns false if none is left.
    bool take(std::size_t liveNodes, std::chrono::steady_clock::time_point now);

private:
    double m_tokens = 0;
    bool m_filled = false;
    std::chrono::steady_clock::time_point m_refilled;
};

}
