#pragma once

#include "admission/cost_order.h"
#include "admission/entrance_gate.h"
#include "call/call_answer.h"
#include "call/call_intake.h"
#include "call/call_observation.h"
#include "call/call_request.h"
#include "decision/poison_ledger.h"
#include "decision/retry_allowance.h"
#include "http/http_message.h"
#include "node/routed_target.h"
#include "quota/quota_account.h"
#include "routes/destination_rotation.h"
#include "routes/organisation_book.h"
#include "routes/route_table.h"
#include "routing/relative_pace.h"
#include "routing/router.h"
#include "routing/service_room.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// One request as it came to this node's port.
struct entry_request {
    std::string requestId;
    // The request for whose sake this one is made, if it names one.
    std::string parentId;
    // The key that it came with.
    std::optional<std::string> key;
    http_request message;
    // When its sender stops waiting.
    std::chrono::steady_clock::time_point deadline;
};

// What the sender of a request is told: the server's answer, or a refusal.
struct entry_answer {
    // Ran: answer holds the server's answer. Otherwise it holds nothing.
    verdict outcome;
    call_answer answer;
    // The HTTP status of a refusal.
    unsigned refusalStatus = 0;
    std::string message;
};

using entry_handler = std::function<void(entry_answer)>;

struct entry_hooks {
    using time_point = std::chrono::steady_clock::time_point;

    std::function<void(std::uint64_t attemptId, const member&, const call_request&)> send;
    std::function<void(std::uint64_t attemptId)> cancelAttempt;
    // Whether anything came back from a member.
    std::function<void(std::uint64_t memberId, bool answered)> ended;
    // The run of the own server that makes a call; nothing for a whole request.
    std::function<std::optional<parent_run>(const entry_request&)> findParent;
    // A call of the own server ended.
    std::function<void(std::uint64_t runId, const onward_report&)> onwardEnded;
    // What servers' ends say of the content; without the hook every one is harmless.
    std::function<poison_status(request_fingerprint)> standingOf;
    // Lets the request go on when its organisation's quota has room; as quota_account's. Without
    // the hooks there are no limits.
    std::function<std::uint64_t(const quota_request&, quota_handler, time_point now)> takeQuota;
    std::function<void(std::uint64_t quotaWait)> cancelQuota;
    std::function<void(const std::string& organisation, time_point now)> giveBackQuota;
    std::function<std::uint64_t()> random;
    call_observer observed;
};

struct entry_settings {
    node_location place;
    // The service of the server beside this node: where these requests begin.
    std::string ownService;
    retry_allowance_settings retries;
};

// The requests that enter at this node, those of its clients and those of its own
// server: finds their route, sends each to a server's node, and is the only one
// that sends it again.
class routed_entry {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The time is when the process started.
    routed_entry(entry_settings, entry_hooks, time_point started);

    // A version older than the one in force is not taken.
    void setConfiguration(route_snapshot);
    void setMembers(const member_list&, time_point now);

    // The handler is called exactly once, unless the request is cancelled.
    std::uint64_t arrive(entry_request, entry_handler, time_point now);

    // The sender of the request has left.
    void cancel(std::uint64_t callId, time_point now);

    void attemptAnswered(std::uint64_t attemptId, call_answer, time_point now);

    // Requests that the intake excludes are refused as not run.
    void setIntake(call_intake intake) { m_intake = intake; }

    // Answers every request in progress, as not run unless an attempt may have run it, and
    // refuses all later ones.
    void endAll(time_point now);

    // Ends requests whose time is over.
    void tick(time_point now);

    std::size_t inProgress() const { return m_calls.size(); }
    std::vector<target_status> targets(time_point now) const { return m_router.targetStatuses(now); }
    std::int64_t version() const { return m_table.configuration().version; }
    // Whether the configuration has a service of that name.
    bool knowsService(const std::string& name) const;
    // Health check path of the service; empty if the service or its path is not known.
    std::string healthPath(const std::string& service) const;
    const client_limits& limits() const { return m_table.configuration().limits; }

private:
    struct entry_call {
        call_request request;
        entry_handler handler;
        time_point arrived;
        // 0 for a whole request.
        std::uint64_t parentRun = 0;
        std::uint32_t maxAttempts = 1;
        std::vector<std::uint64_t> tried;
        // Targets that had no free slot, and may be asked again if no other is left.
        std::vector<std::uint64_t> full;
        // Servers that the request has reached, as far as can be known.
        std::uint32_t reached = 0;
        bool mayHaveRun = false;
        // A server's own failure, which is handed on if nothing better comes.
        std::optional<call_answer> failure;
        // The last refusal, and its advice.
        verdict refusal;
        std::uint64_t attemptId = 0;
        std::uint64_t target = 0;
        std::string targetName;
        bool targetInOtherZone = false;
        time_point attemptStarted;
        // While it waits for its organisation's quota.
        std::uint64_t quotaWait = 0;
        // Whether a part of that is used up for it.
        bool hasQuota = false;
        // What the entrance compared a whole request with.
        remembered_cut entranceCut;
    };

    // Who asks, as far as the node can tell.
    struct request_origin {
        // The run of the own server that makes the request; nothing for a whole one.
        std::optional<parent_run> maker;
        // Null where nobody is told apart.
        const organisation* asker = nullptr;
        // Why it is not taken.
        std::optional<verdict> refusal;
    };

    request_origin originOf(const entry_request&, const route&) const;
    void takeQuota(std::uint64_t callId, std::chrono::milliseconds targetLatency, time_point now);
    void quotaDecided(std::uint64_t callId, quota_refusal, time_point now);
    void endQuota(entry_call&, time_point now);
    void learn(const entry_call&, const call_answer&, time_point now);
    void attempt(std::uint64_t callId, time_point now);
    poison_status standingOf(const entry_call&) const;
    void refusePoison(std::uint64_t callId, time_point now);
    std::optional<member> chooseTarget(entry_call&, poison_status, time_point now);
    std::optional<member> chooseAgreed(entry_call&);
    void noteReached(entry_call&, time_point now);
    bool mayTryAgain(entry_call&, const call_answer&, std::chrono::microseconds latency, time_point now);
    void finish(std::uint64_t callId, const verdict&, call_answer, const std::string& message, time_point now);
    void giveUp(std::uint64_t callId, const verdict&, const std::string& message, time_point now);
    void endCalls(const std::function<bool(const entry_call&)>& shouldEnd, const verdict&, const std::string& message, time_point now);
    void refuseNow(const entry_request&, const entry_handler&, unsigned status, const verdict&, const std::string& message, time_point now) const;
    void abandonAttempt(entry_call&, time_point now);
    void observe(const entry_call&, call_decision, const verdict&, const std::string& detail, std::uint32_t status, time_point now) const;
    std::chrono::milliseconds comeBackAfter() const;

    entry_settings m_settings;
    entry_hooks m_hooks;
    route_table m_table;
    organisation_directory m_organisations;
    destination_rotation m_rotation;
    router m_router;
    retry_allowance m_allowance;
    entrance_gate m_entrance;
    cost_order m_costs;
    free_slot_estimator m_room;
    relative_pace m_paces;
    call_intake m_intake = call_intake::All;
    std::unordered_map<std::uint64_t, entry_call> m_calls;
    std::unordered_map<std::uint64_t, std::uint64_t> m_callOfAttempt;
};

}
