#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace vanillashunt {

// Returns a random number below its argument.
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

// Chooses the member to probe next: each one once in random order, then all again
// in a new order. This bounds the time until a dead member is probed.
class probe_schedule {
public:
    explicit probe_schedule(random_hook);

    // Returns nothing if no candidate is left in this round.
    std::optional<std::uint64_t> next(const std::vector<std::uint64_t>& candidates);

    // Schedules a member again soon, after the next one if there is one.
    void probeAgain(std::uint64_t memberId);

private:
    random_hook m_random;
    std::vector<std::uint64_t> m_order;
};

// Returns up to count different candidates in random order, without the excluded one.
std::vector<std::uint64_t> pickRandom(std::vector<std::uint64_t> candidates, std::size_t count, std::uint64_t excluded, const random_hook&);

}
