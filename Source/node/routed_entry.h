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
#include "routes/organisation_directory.h"
#include "routes/route_table.h"
#include "routing/free_slot_estimator.h"
#include "routing/notice_memory.h"
#include "routing/relative_pace.h"
#include "routing/router.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// One request as received at this node's port.
struct entry_request {
    std::string requestId;
    // Id of the request on whose behalf this one is made; empty if it names none.
    std::string parentId;
    // The organisation key sent with the request.
    std::optional<std::string> key;
    http_request message;
    // When the sender stops waiting.
    std::chrono::steady_clock::time_point deadline;
};

// The result for the sender of a request: the backend server's answer or a refusal.
struct entry_answer {
    // If Ran, `answer` holds the backend server's answer; otherwise it is empty.
    verdict outcome;
    call_answer answer;
    // HTTP status and text of a refusal.
    unsigned refusalStatus = 0;
    std::string message;
};

using entry_handler = std::function<void(entry_answer)>;

struct entry_hooks {
    using time_point = std::chrono::steady_clock::time_point;

    std::function<void(std::uint64_t attemptId, const member&, const call_request&)> send;
    std::function<void(std::uint64_t attemptId)> cancelAttempt;
    // An attempt ended; tells whether the member sent any response.
    std::function<void(std::uint64_t memberId, bool answered)> attemptEnded;
    // Finds the run at the local backend server that makes this onward call; returns nothing for
    // a client request.
    std::function<std::optional<parent_run>(const entry_request&)> findParent;
    // An onward call of the local backend server ended.
    std::function<void(std::uint64_t runId, const onward_report&)> onwardCallEnded;
    // How requests of this content are treated, depending on how many servers terminated while
    // running them. Without the hook every content is harmless.
    std::function<poison_status(request_fingerprint)> standingOf;
    // Same as quota_account::take(), cancel() and giveBack(). Without these hooks organisations
    // have no limits.
    std::function<std::uint64_t(const quota_request&, quota_handler, time_point now)> takeQuota;
    std::function<void(std::uint64_t quotaWaitId)> cancelQuota;
    std::function<void(const std::string& organisation, time_point now)> giveBackQuota;
    std::function<std::uint64_t()> random;
    call_observer observed;
};

struct entry_settings {
    node_location location;
    // Service of the local backend server, named to the targets as the caller.
    std::string ownService;
    retry_allowance_settings retries;
};

// Handles the requests that enter at this node, from clients and from the local backend server:
// finds the route, sends the request to the node of a backend server, and retries it. No other
// node retries it.
class routed_entry {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // `started` is the start of the process.
    routed_entry(entry_settings, entry_hooks, time_point started);

    // Ignored unless its version is later than the current one.
    void setConfiguration(route_snapshot);
    void setMembers(const member_list&, time_point now);

    // Returns the id to pass to cancel(); 0 if the request was refused without one. The handler
    // is called exactly once unless the request is cancelled, possibly before arrive() returns.
    std::uint64_t arrive(entry_request, entry_handler, time_point now);

    // The sender of the request disconnected.
    void cancel(std::uint64_t callId, time_point now);

    void attemptAnswered(std::uint64_t attemptId, call_answer, time_point now);

    // Requests that the intake excludes are refused as not run.
    void setIntake(call_intake intake) { m_intake = intake; }

    // Answers every request in progress, as not run unless an attempt may have run it, and
    // refuses all later ones.
    void endAll(time_point now);

    // Ends requests whose deadline has passed.
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
        // Id of the run that makes this onward call; 0 for a client request.
        std::uint64_t parentRun = 0;
        std::uint32_t maxAttempts = 1;
        std::vector<std::uint64_t> triedTargets;
        // Targets that had no free slot. They are tried again if no other target is left.
        std::vector<std::uint64_t> fullTargets;
        // Attempts that reached a backend server or may have reached one.
        std::uint32_t serversReached = 0;
        bool mayHaveRun = false;
        // Attempts whose answer was given up because of its size.
        std::uint32_t answersGivenUp = 0;
        // A server error from a backend server, returned if no further attempt gets an answer.
        std::optional<call_answer> serverFailure;
        // The latest refusal, with its retry advice.
        verdict lastRefusal;
        std::uint64_t attemptId = 0;
        std::uint64_t targetId = 0;
        std::string targetName;
        bool targetInOtherZone = false;
        time_point attemptStarted;
        // Nonzero while the request waits for its organisation's quota.
        std::uint64_t quotaWaitId = 0;
        // Whether the request has used up quota.
        bool hasQuota = false;
        // The cut that the entrance gate compared a client request with.
        remembered_cut entranceCut;
    };

    // Who sent a request, as far as this node can tell.
    struct request_origin {
        // The run at the local backend server that makes the request; nothing for a client request.
        std::optional<parent_run> parent;
        // The organisation whose key the request has; null if there is none.
        const organisation* sender = nullptr;
        // Set if the request is not accepted.
        std::optional<verdict> refusal;
    };

    request_origin originOf(const entry_request&, const route&) const;
    void takeQuota(std::uint64_t callId, std::chrono::milliseconds targetLatency, time_point now);
    void quotaDecided(std::uint64_t callId, quota_refusal, time_point now);
    void releaseQuota(entry_call&, time_point now);
    void learnFromAnswer(const entry_call&, const call_answer&, time_point now);
    void startAttempt(std::uint64_t callId, time_point now);
    poison_status standingOf(const entry_call&) const;
    void refusePoison(std::uint64_t callId, time_point now);
    std::optional<member> chooseTarget(entry_call&, poison_status, time_point now);
    std::optional<member> chooseAgreedTarget(entry_call&);
    void recordServerReached(entry_call&, time_point now);
    bool shouldRetry(entry_call&, const call_answer&, std::chrono::microseconds latency, time_point now);
    void finish(std::uint64_t callId, const verdict&, call_answer, const std::string& message, time_point now);
    void giveUp(std::uint64_t callId, const verdict&, const std::string& message, time_point now);
    void endCalls(const std::function<bool(const entry_call&)>& shouldEnd, const verdict&, const std::string& message, time_point now);
    void refuseOnArrival(const entry_request&, const entry_handler&, unsigned status, const verdict&, const std::string& message, time_point now) const;
    void abandonAttempt(entry_call&, time_point now);
    void observe(const entry_call&, call_decision, const verdict&, const std::string& detail, std::uint32_t status, time_point now) const;
    std::chrono::milliseconds jitteredRetryAfter() const;

    entry_settings m_settings;
    entry_hooks m_hooks;
    route_table m_table;
    organisation_directory m_organisations;
    destination_rotation m_rotation;
    router m_router;
    retry_allowance m_retryAllowance;
    entrance_gate m_entranceGate;
    cost_order m_costOrder;
    free_slot_estimator m_freeSlotEstimates;
    notice_memory m_notices;
    relative_pace m_paces;
    call_intake m_intake = call_intake::All;
    std::unordered_map<std::uint64_t, entry_call> m_calls;
    std::unordered_map<std::uint64_t, std::uint64_t> m_callOfAttempt;
};

}
