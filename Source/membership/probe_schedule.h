#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_set>
#include <vector>

namespace vanillashunt {

// Returns a random number below its argument.
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

// Whom to probe next: everyone once in random order, then everyone again, so
// that the time to the first probe of a dead member is bounded.
class probe_schedule {
public:
    explicit probe_schedule(random_hook);

    // Returns nothing where there is no candidate.
    std::optional<std::uint64_t> next(const std::vector<std::uint64_t>& candidates);

    // Lets a member come soon again, but not before another one.
    void probeAgain(std::uint64_t memberId);

private:
    random_hook m_random;
    std::vector<std::uint64_t> m_order;
};

// Picks up to count different elements, none of them the one excluded.
std::vector<std::uint64_t> pickSome(std::vector<std::uint64_t> candidates, std::size_t count, std::uint64_t excluded, const random_hook&);

}
