#pragma once

#include "decision/shedding_position.h"
#include "quota/quota_pool.h"
#include "quota/recent_admissions.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// nullopt if the request is admitted; otherwise how long its sender should wait before it retries.
using quota_refusal = std::optional<std::chrono::milliseconds>;
using quota_handler = std::function<void(quota_refusal, std::chrono::steady_clock::time_point now)>;

// A request that counts against its organisation's quota.
struct quota_request {
    std::string organisation;
    // Among waiting requests, the one with the highest position is admitted first.
    shedding_position position = 0;
    // Until when the request may wait for quota.
    std::chrono::steady_clock::time_point waitUntil;
    // The same while the node is starting and cannot admit anything yet.
    std::chrono::steady_clock::time_point waitUntilStarted {};
};

struct quota_account_hooks {
    // Returns the sequence number for the next ask; never 0.
    std::function<std::uint32_t()> nextSequence;
    // Asks the zone's pool. The answer is passed to granted(), possibly before this returns.
    std::function<void(std::uint32_t sequence, const quota_ask&, std::chrono::steady_clock::time_point now)> ask;
    // The ask was not answered in time.
    std::function<void(std::uint32_t sequence, std::chrono::steady_clock::time_point now)> unanswered;
    // Returns a random number below the bound.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
};

// Admits or refuses the requests of limited organisations that enter at this node. A request
// is admitted when the zone's pool has granted it.
class quota_account {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit quota_account(quota_account_hooks);

    // The handler is called exactly once, unless the request is cancelled. Returns 0 if it was
    // called already, otherwise an id for cancel().
    std::uint64_t take(const quota_request&, quota_handler, time_point now);

    void cancel(std::uint64_t requestId);

    // Returns the quota of a request that was admitted but reached no server.
    void giveBack(const std::string& organisation, time_point now);

    // The pool's answer to the ask with the sequence number; late answers count, too.
    void granted(std::uint32_t sequence, const quota_grant&, time_point now);

    // Repeats asks and refuses requests that cannot be admitted in time.
    void tick(time_point now);

    // Removes and returns all grants that were not used, for the pool.
    std::vector<quota_grant> takeUnused();

    // Discards unused grants, because a lower limit applies to earlier grants, too.
    void configurationChanged(time_point now);

    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting(const std::string& organisation) const;
    // Requests that were admitted in the last seconds.
    std::uint32_t admitted(const std::string& organisation, time_point now) const { return m_admitted.count(organisation, now); }

private:
    // The order in which waiting requests are admitted.
    struct waiting_place {
        shedding_position position = 0;
        std::uint64_t id = 0;

        bool operator<(const waiting_place& other) const { return position != other.position ? position > other.position : id < other.id; }
    };

    struct waiting_request {
        time_point waitUntil;
        quota_handler handler;
    };

    struct known_request {
        std::string organisation;
        waiting_place place;
    };

    // The state of one organisation.
    struct entry {
        std::map<waiting_place, waiting_request> waiting;
        // Whether waiting requests are being admitted.
        bool admitting = false;
        // Grants that were not used yet.
        std::uint32_t unused = 0;
        // Waiting requests that the pool has not been asked for yet.
        std::uint32_t fresh = 0;
        // Sequence number of the pending ask; 0 if there is none.
        std::uint32_t sequence = 0;
        time_point asked {};
        time_point nextAsk {};
        // The wait that the pool advised last.
        std::chrono::milliseconds wait { 0 };
    };

    void ask(const std::string& organisation, entry&, time_point now);
    void admitWaiting(const std::string& organisation, entry&, time_point now);
    void refuseLate(entry&, time_point now);
    std::chrono::milliseconds spread(std::chrono::milliseconds wait) const;

    quota_account_hooks m_hooks;
    std::unordered_map<std::string, entry> m_entries;
    // The waiting requests, by id.
    std::unordered_map<std::uint64_t, known_request> m_requests;
    recent_admissions m_admitted;
    std::uint64_t m_lastId = 0;
    std::size_t m_waiting = 0;
};

}
