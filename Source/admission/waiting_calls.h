#pragma once

#include "admission/organisation_shares.h"
#include "admission/service_times.h"
#include "decision/shedding_position.h"

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

struct waiting_call {
    std::uint64_t callId = 0;
    // Where it waits; for a call that is ranked among those of begun requests this is
    // another position than the one by which it is shed.
    shedding_position position = 0;
    shedding_position shedAt = 0;
    organisation_index organisation = 0;
    std::chrono::steady_clock::time_point deadline;
    class_index requestClass = 0;
    bool begun = false;
    // Set by the queue: the order of arrival.
    std::uint64_t order = 0;
};

// The calls that wait for a slot. Importance goes first; within one importance
// the organisations take turns by their shares (start-time fair queueing), and each
// organisation's calls go by shedding position and then by deadline. Every
// operation is logarithmic in the number of calls.
class waiting_calls {
public:
    // The shares outlive the queue.
    explicit waiting_calls(const organisation_shares&);

    void add(waiting_call);

    // Returns the call, or nothing if it does not wait.
    std::optional<waiting_call> remove(std::uint64_t callId);

    // The call whose turn is next; null if none waits.
    const waiting_call* next() const;

    // Removes the call whose turn it is and charges it to its organisation.
    waiting_call takeNext();

    // The call to give up first: of the least importance, of the organisation that
    // is furthest over its share, the worst placed. Null if none waits.
    const waiting_call* worst() const;

    // The worst placed of one organisation's calls of one importance; null if none waits.
    const waiting_call* worst(importance, organisation_index) const;

    // How often the organisation's calls of this importance, and one more, fill its share.
    double load(importance, organisation_index, std::size_t more) const;

    // The same for all organisations that have calls of this importance waiting.
    double meanLoad(importance) const;

    // Whether calls of another organisation wait at the same importance.
    bool othersWait(importance, organisation_index) const;

    // Calls that are to start before one that would be placed here.
    std::size_t ahead(const waiting_call&) const;

    // Removes a call whose deadline has come; nothing if there is none.
    std::optional<waiting_call> takeExpired(std::chrono::steady_clock::time_point now);

    std::size_t size() const { return m_byId.size(); }
    bool empty() const { return m_byId.empty(); }
    std::size_t sizeOf(importance level) const { return m_levels[static_cast<std::size_t>(level)].size; }

private:
    struct better_placed {
        bool operator()(const waiting_call&, const waiting_call&) const;
    };
    using ordered_calls = __gnu_pbds::tree<waiting_call, __gnu_pbds::null_type, better_placed,
        __gnu_pbds::rb_tree_tag, __gnu_pbds::tree_order_statistics_node_update>;

    struct organisation_queue {
        ordered_calls calls;
        // Virtual time at which the organisation's next call may start.
        double turn = 0;
        // The share and the load that it is ranked by now.
        double share = 0;
        double load = 0;
    };

    struct ranked_organisation {
        double rank;
        organisation_index organisation;
        bool operator<(const ranked_organisation&) const;
    };

    // The calls of one importance.
    struct level_queue {
        std::unordered_map<organisation_index, organisation_queue> organisations;
        // The organisations that have calls waiting, by turn and by load.
        std::set<ranked_organisation> byTurn;
        std::set<ranked_organisation> byLoad;
        double virtualTime = 0;
        // Of the organisations that have calls waiting.
        double waitingShares = 0;
        std::size_t size = 0;
    };

    struct by_deadline {
        std::chrono::steady_clock::time_point deadline;
        std::uint64_t callId;
        bool operator<(const by_deadline&) const;
    };

    level_queue& levelOf(shedding_position);
    std::optional<waiting_call> remove(std::uint64_t callId, double turns);
    void rank(level_queue&, organisation_index);
    void unrank(level_queue&, organisation_index);

    const organisation_shares& m_shares;
    std::array<level_queue, importanceCount> m_levels;
    std::unordered_map<std::uint64_t, waiting_call> m_byId;
    std::set<by_deadline> m_byDeadline;
    std::uint64_t m_arrivals = 0;
};

}
