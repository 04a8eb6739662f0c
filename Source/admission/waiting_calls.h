#pragma once

#include "admission/min_service_times.h"
#include "admission/organisation_shares.h"
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
    // The position by which the call is queued. For a call that is ranked among nested
    // calls it differs from shedPosition, the one that decides whether it is shed.
    shedding_position position = 0;
    shedding_position shedPosition = 0;
    organisation_index organisation = 0;
    std::chrono::steady_clock::time_point deadline;
    class_index requestClass = 0;
    bool nested = false;
    // The order of arrival; set by the queue.
    std::uint64_t order = 0;
};

// The calls that wait for a slot, ordered by importance. Within one importance, the
// organisations are served in proportion to their shares (start-time fair queueing), and
// the calls of an organisation by position, highest first, and then by deadline. Every
// operation takes logarithmic time in the number of calls.
class waiting_calls {
public:
    // The shares must outlive the queue.
    explicit waiting_calls(const organisation_shares&);

    void add(waiting_call);

    // Returns the call, or nothing if it does not wait.
    std::optional<waiting_call> remove(std::uint64_t callId);

    // The call to start next; null if none waits.
    const waiting_call* next() const;

    // Removes the call to start next and charges it to its organisation; the queue must not
    // be empty.
    waiting_call takeNext();

    // The call to evict first: of the lowest importance, of the organisation furthest over
    // its share, the last in its order. Null if none waits.
    const waiting_call* evictionCandidate() const;

    // The last in order of an organisation's calls of one importance; null if none waits.
    const waiting_call* evictionCandidate(importance, organisation_index) const;

    // The organisation's waiting calls of this importance, plus the additional ones, divided
    // by its share.
    double load(importance, organisation_index, std::size_t additional) const;

    // The same for all organisations together that have calls of this importance waiting.
    double meanLoad(importance) const;

    // Whether calls of another organisation wait at the same importance.
    bool othersWait(importance, organisation_index) const;

    // The number of waiting calls that would start before this one if it were added.
    std::size_t ahead(const waiting_call&) const;

    // Removes and returns a call whose deadline has passed; nothing if there is none.
    std::optional<waiting_call> takeExpired(std::chrono::steady_clock::time_point now);

    std::size_t size() const { return m_byId.size(); }
    bool empty() const { return m_byId.empty(); }
    std::size_t sizeOf(importance level) const { return m_levels[static_cast<std::size_t>(level)].size; }

private:
    struct starts_before {
        bool operator()(const waiting_call&, const waiting_call&) const;
    };
    using ordered_calls = __gnu_pbds::tree<waiting_call, __gnu_pbds::null_type, starts_before,
        __gnu_pbds::rb_tree_tag, __gnu_pbds::tree_order_statistics_node_update>;

    struct organisation_queue {
        ordered_calls calls;
        // Virtual start time (start tag) of the organisation's next call.
        double startTag = 0;
        // The share and the load by which the organisation is ranked now.
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
        // The organisations that have calls waiting, by start tag and by load.
        std::set<ranked_organisation> byStartTag;
        std::set<ranked_organisation> byLoad;
        double virtualTime = 0;
        // Sum of the shares of the organisations that have calls waiting.
        double waitingShares = 0;
        std::size_t size = 0;
    };

    struct deadline_entry {
        std::chrono::steady_clock::time_point deadline;
        std::uint64_t callId;
        bool operator<(const deadline_entry&) const;
    };

    level_queue& levelOf(shedding_position);
    std::optional<waiting_call> remove(std::uint64_t callId, double charge);
    void rank(level_queue&, organisation_index);
    void unrank(level_queue&, organisation_index);

    const organisation_shares& m_shares;
    std::array<level_queue, importanceCount> m_levels;
    std::unordered_map<std::uint64_t, waiting_call> m_byId;
    std::set<deadline_entry> m_byDeadline;
    std::uint64_t m_arrivals = 0;
};

}
