#pragma once

#include "admission/entrance_gate.h"
#include "call/call_answer.h"
#include "call/call_intake.h"
#include "call/call_observation.h"
#include "call/call_request.h"
#include "caller/caller_request.h"
#include "caller/caller_response.h"
#include "caller/context_text.h"
#include "contract/contract.h"
#include "decision/call_progress.h"
#include "decision/claim_budget.h"
#include "decision/retry_budget.h"
#include "routing/router.h"
#include "store/claim_store.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

class inbound_calls;

using final_handler = std::function<void(final_answer)>;

struct outbound_hooks {
    // Sends an attempt to a member's node; its answer comes back by attemptAnswered().
    std::function<void(std::uint64_t attemptId, const member&, const call_request&)> send;
    std::function<void(std::uint64_t attemptId)> cancelAttempt;
    // Told of each attempt that ended, and whether anything came back from the member.
    std::function<void(std::uint64_t memberId, bool answered)> ended;
    // Writes a claim to the platform's store; what came of it comes back by claimAnswered().
    std::function<void(std::uint64_t callId, const std::string& organisation, const std::string& idempotencyKey, const ticket&)> claim;
    std::function<std::uint64_t()> random;
    // Told of each step of each call; may be empty.
    call_observer observed;
};

// The calls that callers outside and the own backend server make through this
// node: which class each is, where it goes, whether it is tried again, and what
// its caller is told. Every call gets its final answer at once when it is given up.
class outbound_calls {
public:
    outbound_calls(router, inbound_calls&, outbound_hooks, admission_policy = admission_policy::Full);

    void setContracts(contract_snapshot);
    void setMembers(member_list, std::chrono::steady_clock::time_point now);

    // The handler is called exactly once, unless the call is cancelled.
    // Returns the id for cancel().
    std::uint64_t start(caller_request, final_handler, std::chrono::steady_clock::time_point now);

    // For a caller that is gone.
    void cancel(std::uint64_t callId, std::chrono::steady_clock::time_point now);

    // Cancels the onward calls of a run that was given up.
    void cancelOnwardOf(std::uint64_t runId, std::chrono::steady_clock::time_point now);

    void attemptAnswered(std::uint64_t attemptId, call_answer, std::chrono::steady_clock::time_point now);

    void claimAnswered(std::uint64_t callId, const claim_result&, std::chrono::steady_clock::time_point now);

    // Calls that the intake excludes are refused as not run.
    void setIntake(call_intake intake) { m_intake = intake; }

    // Answers every call in progress, and refuses all later ones.
    void endAll(std::chrono::steady_clock::time_point now);

    // Gives up the calls whose time is over; to be called every few milliseconds.
    void tick(std::chrono::steady_clock::time_point now);

    // A node other than the excluded one that could run a call of the service.
    std::optional<member> homeBeside(std::uint64_t excluded, const std::string& service, std::chrono::steady_clock::time_point now) { return m_router.choose({ service, { excluded } }, now); }

    const entrance_gate& entrance() const { return m_entrance; }
    std::size_t inProgress() const { return m_calls.size(); }

private:
    struct outbound_call {
        // As it is sent, but for call id, attempt and permit.
        call_request request;
        final_handler handler;
        // The run that this is an onward call of; 0 at the entry.
        std::uint64_t parentRun = 0;
        std::chrono::steady_clock::time_point arrived;
        // The caller's own count of its tries.
        std::uint32_t callerAttempt = 0;
        call_progress progress;
        // Set while the call waits for its claim: the ticket that it claims.
        std::optional<ticket> claiming;
        // The attempt in progress, 0 for none, and where it went.
        std::uint64_t attemptId = 0;
        std::uint64_t target = 0;
        std::chrono::steady_clock::time_point attemptStarted;
        shedding_position cut = 0;
    };

    // Why a call is refused before its first attempt.
    struct early_refusal {
        verdict why;
        std::string message;
    };

    std::optional<early_refusal> classify(const caller_request&, const std::optional<context_text>&, outbound_call&, std::chrono::steady_clock::time_point now) const;
    std::optional<early_refusal> classifyEntry(const caller_request&, const std::optional<context_text>&, outbound_call&, std::chrono::steady_clock::time_point now) const;
    std::optional<early_refusal> stopRefusal(const outbound_call&) const;
    void endCalls(const std::function<bool(const outbound_call&)>& shouldEnd, verdict_reason, const std::string& message, std::chrono::steady_clock::time_point now);
    std::optional<early_refusal> entranceRefusal(const outbound_call&, std::chrono::steady_clock::time_point now);
    void learnAtEntrance(const outbound_call&, const call_answer&, std::chrono::steady_clock::time_point now);
    void attempt(std::uint64_t callId, std::chrono::steady_clock::time_point now);
    void startClaim(std::uint64_t callId, const std::string& idempotencyKey, std::chrono::steady_clock::time_point now);
    std::optional<member> chooseTarget(const outbound_call&, std::chrono::steady_clock::time_point now);
    std::optional<ticket> permitForRepeat(const outbound_call&, execution, std::chrono::steady_clock::time_point now);
    void finish(std::uint64_t callId, call_answer, const std::string& message, std::chrono::steady_clock::time_point now);
    void observe(const outbound_call&, call_decision, std::chrono::steady_clock::time_point now, const std::string& detail) const;
    void observe(const outbound_call&, call_decision, std::chrono::steady_clock::time_point now, const call_answer&, const std::string& detail) const;
    void abandonAttempt(outbound_call&, std::chrono::steady_clock::time_point now);

    router m_router;
    retry_budget m_retryBudget;
    claim_budget m_claimBudget;
    std::size_t m_liveNodes = 1;
    inbound_calls& m_inbound;
    outbound_hooks m_hooks;
    entrance_gate m_entrance;
    contract_snapshot m_contracts;
    call_intake m_intake = call_intake::All;
    std::unordered_map<std::uint64_t, outbound_call> m_calls;
    std::unordered_map<std::uint64_t, std::uint64_t> m_callOfAttempt;
};

}
