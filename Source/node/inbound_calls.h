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

using call_replier = std::function<void(const call_answer&)>;

struct inbound_hooks {
    // Sends a call to the backend server at the address; its answer comes back
    // by backendAnswered() with the same run id.
    std::function<void(std::uint64_t runId, const std::string& address, const call_request&)> run;
    std::function<void(std::uint64_t runId)> cancelRun;
    // Told when a run was given up, so that its onward calls are cancelled too.
    std::function<void(std::uint64_t runId)> abandoned;
    // Another node that could run calls of the service; nothing where none is known, or without the hook.
    std::function<std::optional<member>(const std::string& service, std::chrono::steady_clock::time_point now)> otherHome;
    // Told of each ticket that was handed over, and to whom; may be empty.
    std::function<void(const std::string& requestId, const member& home)> handedOver;
    std::function<std::uint64_t()> random;
};

// The calls that other nodes send to the own backend server: whether each may
// run, when, and what its caller is told. The last gate before the backend
// server, and so the only place that can say for certain that a call was not run.
class inbound_calls {
public:
    inbound_calls(std::uint64_t incarnation, std::chrono::steady_clock::time_point started, inbound_hooks, admission_settings = {});

    // Nothing while no backend server is announced.
    void setBackend(std::optional<backend_announcement>, std::chrono::steady_clock::time_point now);

    // The organisations' parts of the backend server under overload.
    void setContracts(const contract_set&);

    // Refuses new calls while set; calls in progress end normally.
    void setDraining(bool draining) { m_draining = draining; }
    bool draining() const { return m_draining; }

    // The replier is called exactly once. Returns the id for cancel().
    std::uint64_t arrive(call_request, call_replier, std::chrono::steady_clock::time_point now);

    // For a caller that is gone. A non-idempotent call that runs already goes on,
    // so that a repeat can have its answer.
    void cancel(std::uint64_t arrivalId, std::chrono::steady_clock::time_point now);

    void backendAnswered(std::uint64_t runId, const call_answer&, std::chrono::steady_clock::time_point now);

    // To be called every few milliseconds.
    void tick(std::chrono::steady_clock::time_point now);

    // The context of a run in progress; nothing if there is no such run.
    std::optional<request_context> contextOfRun(std::uint64_t runId) const;

    // Hands out about half of the run's retry tokens for one onward call.
    std::uint32_t takeTokens(std::uint64_t runId);

    // Takes back what an onward call did not spend, and the cut that it met.
    void onwardFinished(std::uint64_t runId, std::uint32_t tokensLeft, shedding_position cut);

    const admission_gate& gate() const { return m_gate; }
    const std::optional<backend_announcement>& backend() const { return m_backend; }
    std::size_t inProgress() const { return m_arrivals.size(); }
    std::size_t ledgerSize() const { return m_ledger.size(); }

private:
    // One attempt that waits for the answer of a call.
    struct attempt_waiter {
        std::uint64_t callId = 0;
        std::uint32_t attempt = 0;
        call_replier replier;
    };

    // A call that waits or runs, and every attempt of it that is to be answered.
    struct arrival {
        call_request request;
        std::vector<attempt_waiter> waiters;
        bool running = false;
        std::chrono::steady_clock::time_point startedRunning;
        std::uint32_t tokens = 0;
        shedding_position onwardCut = 0;
    };

    std::optional<verdict> refusalBeforeGate(const call_request&) const;
    void answerRepeat(const call_request&, ticket_state, const call_replier&);
    void start(std::uint64_t arrivalId, std::chrono::steady_clock::time_point now);
    void refuse(std::uint64_t arrivalId, const verdict&, std::chrono::steady_clock::time_point now);
    void handOver(const call_request&, const verdict&, std::chrono::steady_clock::time_point now);
    void startReleased(std::chrono::steady_clock::time_point now);
    void settleTicket(const call_request&, const call_answer&);
    void keepAnswer(std::uint64_t nonce, const call_answer&);
    void reply(arrival&, const call_answer&) const;
    void fillTicket(call_answer&, std::uint64_t nonce) const;
    void fillLoad(call_answer&, const std::string& organisation) const;

    inbound_hooks m_hooks;
    std::optional<backend_announcement> m_backend;
    admission_gate m_gate;
    ticket_ledger m_ledger;
    bool m_draining = false;
    std::chrono::steady_clock::time_point m_nextForget;
    std::unordered_map<std::uint64_t, arrival> m_arrivals;
    std::unordered_map<std::uint64_t, std::uint64_t> m_arrivalOfNonce;
    std::unordered_map<std::uint64_t, std::shared_ptr<const call_answer>> m_keptAnswers;
    std::deque<std::uint64_t> m_keptOrder;
    std::size_t m_keptBytes = 0;
};

}
