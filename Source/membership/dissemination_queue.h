#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// The members that there is news of, and how often each piece of news has still
// to be sent. Fresh news goes first, then what has waited longest.
class dissemination_queue {
public:
    using size_hook = std::function<std::size_t(std::uint64_t memberId)>;

    // News that is there already starts again.
    void add(std::uint64_t memberId, std::uint32_t transmissions);

    // Takes members whose news fits the bytes, and counts one transmission of each.
    std::vector<std::uint64_t> take(std::size_t bytes, const size_hook&);

    bool empty() const { return m_remaining.empty(); }
    std::size_t size() const { return m_remaining.size(); }

private:
    std::deque<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::uint32_t> m_remaining;
};

}
