#pragma once

#include "decision/shedding_position.h"
#include "quota/quota_pool.h"
#include "quota/recent_admissions.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// Nothing: the request may go on. Otherwise when its sender is to come back.
using quota_refusal = std::optional<std::chrono::milliseconds>;
using quota_handler = std::function<void(quota_refusal, std::chrono::steady_clock::time_point now)>;

// A request that needs a part of its organisation's quota.
struct quota_request {
    std::string organisation;
    // Of several that wait the highest goes first.
    shedding_position position = 0;
    // Until when it may wait for its organisation's next request to be allowed.
    std::chrono::steady_clock::time_point waitUntil;
    // The same where the node has just started, and nothing can be allowed yet.
    std::chrono::steady_clock::time_point waitUntilStarted {};
};

struct quota_account_hooks {
    // Names the next ask; never 0.
    std::function<std::uint32_t()> nextSequence;
    // Asks the zone's pool; whatever comes back is given to granted(), also at once.
    std::function<void(std::uint32_t sequence, const quota_ask&, std::chrono::steady_clock::time_point now)> ask;
    // Nothing came back.
    std::function<void(std::uint32_t sequence, std::chrono::steady_clock::time_point now)> unanswered;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
};

// The requests of limited organisations that enter at this node: each goes on when the
// zone's pool has granted it, or is refused.
class quota_account {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit quota_account(quota_account_hooks);

    // The handler is called exactly once, unless the request is cancelled. Returns 0 where it
    // was called at once, else what the request goes by until then.
    std::uint64_t take(const quota_request&, quota_handler, time_point now);

    void cancel(std::uint64_t requestId);

    // A request that was let through has reached no server.
    void giveBack(const std::string& organisation, time_point now);

    // What the pool gave in answer to the ask; late answers count, too.
    void granted(std::uint32_t sequence, const quota_grant&, time_point now);

    // Asks again and ends waits.
    void tick(time_point now);

    // Takes what is left over here, for the pool.
    std::vector<quota_grant> takeUnused();

    // Forgets what is left over here: a lower limit holds for what was granted before, too.
    void configurationChanged(time_point now);

    std::size_t waiting() const { return m_waiting; }
    std::size_t waiting(const std::string& organisation) const;
    // Requests that were let through in the last seconds.
    std::uint32_t admitted(const std::string& organisation, time_point now) const { return m_admitted.count(organisation, now); }

private:
    struct waiting_request {
        std::uint64_t id = 0;
        shedding_position position = 0;
        time_point waitUntil;
        quota_handler handler;
    };

    // What is known of one organisation here.
    struct entry {
        std::vector<waiting_request> waiting;
        std::uint32_t unused = 0;
        // Requests that the pool has not heard of.
        std::uint32_t fresh = 0;
        // The ask that is under way; 0 for none.
        std::uint32_t sequence = 0;
        time_point asked {};
        time_point nextAsk {};
        // What the pool said last.
        std::chrono::milliseconds wait { 0 };
    };

    void ask(const std::string& organisation, entry&, time_point now);
    void letThrough(const std::string& organisation, entry&, time_point now);
    void refuseLate(entry&, time_point now);
    std::chrono::milliseconds spread(std::chrono::milliseconds wait) const;

    quota_account_hooks m_hooks;
    std::unordered_map<std::string, entry> m_entries;
    std::unordered_map<std::uint64_t, std::string> m_organisationOf;
    recent_admissions m_admitted;
    std::uint64_t m_lastId = 0;
    std::size_t m_waiting = 0;
};

}
