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

using final_answer_handler = std::function<void(final_answer)>;

struct outbound_hooks {
    // Sends an attempt to a member. Its answer is passed to attemptAnswered().
    std::function<void(std::uint64_t attemptId, const member&, const call_request&)> send;
    std::function<void(std::uint64_t attemptId)> cancelAttempt;
    // Called when an attempt has ended; answered tells whether the member responded.
    std::function<void(std::uint64_t memberId, bool answered)> attemptEnded;
    // Writes a claim to the platform's store. The result is passed to claimAnswered().
    std::function<void(std::uint64_t callId, const std::string& organisation, const std::string& idempotencyKey, const ticket&)> claim;
    std::function<std::uint64_t()> random;
    // Called for each step of each call; may be empty.
    call_observer observed;
};

// The calls that external callers and the local backend server make through this
// node. Determines the class of each call, chooses its target, decides on retries,
// and answers its caller. A call that is abandoned gets its final answer at once.
class outbound_calls {
public:
    outbound_calls(router, inbound_calls&, outbound_hooks, admission_policy = admission_policy::Full);

    void setContracts(contract_snapshot);
    void setMembers(member_list, std::chrono::steady_clock::time_point now);

    // The handler is called exactly once, unless the call is cancelled.
    // Returns the id for cancel().
    std::uint64_t start(caller_request, final_answer_handler, std::chrono::steady_clock::time_point now);

    // Cancels a call whose caller is gone.
    void cancel(std::uint64_t callId, std::chrono::steady_clock::time_point now);

    // Cancels the onward calls of a run that was abandoned, and answers them.
    void cancelOnwardCalls(std::uint64_t runId, std::chrono::steady_clock::time_point now);

    void attemptAnswered(std::uint64_t attemptId, call_answer, std::chrono::steady_clock::time_point now);

    void claimAnswered(std::uint64_t callId, const claim_result&, std::chrono::steady_clock::time_point now);

    // Calls that the intake excludes are refused with the verdict not run.
    void setIntake(call_intake intake) { m_intake = intake; }

    // Answers every call in progress, and refuses all later calls.
    void endAll(std::chrono::steady_clock::time_point now);

    // Ends the calls whose deadline has passed. Has to be called every few milliseconds.
    void tick(std::chrono::steady_clock::time_point now);

    // Returns a node other than the excluded one that could run a call of the service.
    std::optional<member> chooseHomeExcept(std::uint64_t excluded, const std::string& service, std::chrono::steady_clock::time_point now) { return m_router.choose({ service, { excluded } }, now); }

    const entrance_gate& entrance() const { return m_entrance; }
    std::size_t inProgress() const { return m_calls.size(); }

private:
    struct outbound_call {
        // The request as it is sent; attempt, permit and retry tokens are set for each attempt.
        call_request request;
        final_answer_handler handler;
        // The run that made this onward call; 0 for a call of an external caller.
        std::uint64_t parentRun = 0;
        std::chrono::steady_clock::time_point arrived;
        // The attempt number that the caller sent.
        std::uint32_t callerAttempt = 0;
        call_progress progress;
        // The ticket that the call claims; set while it waits for the result.
        std::optional<ticket> pendingClaim;
        // The attempt in progress, or 0, and the id of the member that it was sent to.
        std::uint64_t attemptId = 0;
        std::uint64_t target = 0;
        std::chrono::steady_clock::time_point attemptStarted;
        shedding_position cut = 0;
    };

    // The verdict and message for a call that is refused before its first attempt.
    struct early_refusal {
        verdict cause;
        std::string message;
    };

    std::optional<early_refusal> classify(const caller_request&, const std::optional<context_text>&, outbound_call&, std::chrono::steady_clock::time_point now) const;
    std::optional<early_refusal> classifyEntry(const caller_request&, const std::optional<context_text>&, outbound_call&, std::chrono::steady_clock::time_point now) const;
    std::optional<early_refusal> intakeRefusal(const outbound_call&) const;
    void endCalls(const std::function<bool(const outbound_call&)>& shouldEnd, verdict_reason, const std::string& message, std::chrono::steady_clock::time_point now);
    std::optional<early_refusal> entranceRefusal(const outbound_call&, std::chrono::steady_clock::time_point now);
    void updateEntranceGate(const outbound_call&, const call_answer&, std::chrono::steady_clock::time_point now);
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
    std::unordered_map<std::uint64_t, std::uint64_t> m_callByAttempt;
};

}
