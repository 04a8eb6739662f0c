#pragma once

#include "admission/admission_gate.h"
#include "backend/backend_announcement.h"
#include "call/call_answer.h"
#include "call/call_request.h"
#include "contract/contract.h"
#include "decision/member.h"
#include "decision/ticket_ledger.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

using answer_callback = std::function<void(const call_answer&)>;

struct inbound_hooks {
    // Sends a call to the backend server at the address. Its answer is passed to
    // backendAnswered() with the same run id.
    std::function<void(std::uint64_t runId, const std::string& address, const call_request&)> run;
    std::function<void(std::uint64_t runId)> cancelRun;
    // Called when a run is abandoned, so that its onward calls, which the backend server makes
    // during the run, are cancelled too.
    std::function<void(std::uint64_t runId)> runAbandoned;
    // Returns another node that could run calls of the service, or std::nullopt if none is known; may be empty.
    std::function<std::optional<member>(const std::string& service, std::chrono::steady_clock::time_point now)> findOtherHome;
    // Called for each ticket that was handed over, with its new home; may be empty.
    std::function<void(const std::string& requestId, const member& home)> handedOver;
    std::function<std::uint64_t()> random;
};

// The calls that nodes send to the local backend server. Decides whether and when
// each call runs, and what its caller is answered. As the last check before the
// backend server, only this class can tell for certain that a call was not run.
class inbound_calls {
public:
    inbound_calls(std::uint64_t incarnation, std::chrono::steady_clock::time_point started, inbound_hooks, admission_settings = {});

    // Sets the local backend server; std::nullopt while none is announced.
    void setBackend(std::optional<backend_announcement>, std::chrono::steady_clock::time_point now);

    // Sets the organisations' shares of the backend server under overload.
    void setContracts(const contract_set&);

    // Refuses new calls while set; calls in progress end normally.
    void setDraining(bool draining) { m_draining = draining; }
    bool draining() const { return m_draining; }

    // The callback is called once, or not at all if the call is cancelled. Returns the id for cancel().
    std::uint64_t arrive(call_request, answer_callback, std::chrono::steady_clock::time_point now);

    // Cancels a call whose caller is gone. A non-idempotent call that is already
    // running continues, so that a repeated request can get its answer.
    void cancel(std::uint64_t arrivalId, std::chrono::steady_clock::time_point now);

    void backendAnswered(std::uint64_t runId, const call_answer&, std::chrono::steady_clock::time_point now);

    // Has to be called every few milliseconds.
    void tick(std::chrono::steady_clock::time_point now);

    // Returns the context of a run in progress, or std::nullopt if there is no such run.
    std::optional<request_context> contextOfRun(std::uint64_t runId) const;

    // Takes half of the run's retry tokens, rounded up, for one onward call; returns their number.
    std::uint32_t takeRetryTokens(std::uint64_t runId);

    // Gives the retry tokens that an onward call did not spend back to the run, and records
    // the highest cut that the run's onward calls encountered.
    void onwardFinished(std::uint64_t runId, std::uint32_t tokensLeft, shedding_position cut);

    const admission_gate& gate() const { return m_gate; }
    const std::optional<backend_announcement>& backend() const { return m_backend; }
    std::size_t inProgress() const { return m_arrivals.size(); }
    std::size_t ledgerSize() const { return m_ledger.size(); }

private:
    // An attempt that waits for the answer to a call.
    struct attempt_waiter {
        std::uint64_t callId = 0;
        std::uint32_t attempt = 0;
        answer_callback answerCallback;
    };

    // A call that waits or runs, and its attempts that are to be answered.
    struct arrival {
        call_request request;
        std::vector<attempt_waiter> waiters;
        bool running = false;
        std::chrono::steady_clock::time_point startedRunning;
        std::uint32_t tokens = 0;
        shedding_position onwardCut = 0;
    };

    std::optional<verdict> refusalBeforeGate(const call_request&) const;
    void answerRepeat(const call_request&, ticket_state, const answer_callback&);
    void start(std::uint64_t arrivalId, std::chrono::steady_clock::time_point now);
    void refuse(std::uint64_t arrivalId, const verdict&, std::chrono::steady_clock::time_point now);
    void handOver(const call_request&, const verdict&, std::chrono::steady_clock::time_point now);
    void startReleasedCalls(std::chrono::steady_clock::time_point now);
    void recordTicketOutcome(const call_request&, const call_answer&);
    void keepAnswer(std::uint64_t nonce, const call_answer&);
    void reply(arrival&, const call_answer&) const;
    void fillTicket(call_answer&, std::uint64_t nonce) const;
    void fillLoad(call_answer&, const std::string& organisation) const;

    inbound_hooks m_hooks;
    std::optional<backend_announcement> m_backend;
    admission_gate m_gate;
    ticket_ledger m_ledger;
    bool m_draining = false;
    std::chrono::steady_clock::time_point m_nextLedgerCleanup;
    std::unordered_map<std::uint64_t, arrival> m_arrivals;
    std::unordered_map<std::uint64_t, std::uint64_t> m_arrivalByNonce;
    std::unordered_map<std::uint64_t, std::shared_ptr<const call_answer>> m_keptAnswers;
    std::deque<std::uint64_t> m_keptOrder;
    std::size_t m_keptBytes = 0;
};

}
