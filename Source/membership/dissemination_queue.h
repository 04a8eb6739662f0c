#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// The members whose updates are still to be disseminated, and how often each
// update has still to be sent. New updates go first, then those that have waited
// longest.
class dissemination_queue {
public:
    // Returns the bytes that the update of a member takes on the wire.
    using size_hook = std::function<std::size_t(std::uint64_t memberId)>;

    // Queues the update of a member. For a member that is queued already, the number of
    // transmissions left starts again and the position stays.
    void add(std::uint64_t memberId, std::uint32_t transmissions);

    // Returns members from the front of the queue whose updates fit into the given bytes
    // together, and counts one transmission of each.
    std::vector<std::uint64_t> take(std::size_t bytes, const size_hook&);

    bool empty() const { return m_remaining.empty(); }
    std::size_t size() const { return m_remaining.size(); }

private:
    std::deque<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::uint32_t> m_remaining;
};

}
