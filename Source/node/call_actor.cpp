#include "node/call_actor.h"

#include "caller/caller_response.h"
#include "caller/context_text.h"
#include "events/event_catalogue.h"
#include "node/admission_dump.h"

namespace vanillashunt {

namespace {

    // To a waiting caller, a store slower than this is no better than one that is down.
    constexpr std::chrono::milliseconds claimTimeout { 250 };

    std::chrono::steady_clock::time_point currentTime()
    {
        return std::chrono::steady_clock::now();
    }

}

call_actor::call_actor(caf::actor_config& config, call_actor_parameters parameters)
    : caf::event_based_actor(config)
    , m_parameters(std::move(parameters))
    , m_inbound(m_parameters.incarnation, m_parameters.started, inboundHooks(), admissionSettings())
    , m_outbound(router(m_parameters.location, [random = m_parameters.random](std::uint64_t bound) { return random() % bound; }),
          m_inbound, outboundHooks(), m_parameters.policy)
{
}

template <typename Message>
void call_actor::sendSelf(Message message)
{
    m_parameters.host->send(caf::actor_cast<caf::actor>(this), std::move(message));
}

inbound_hooks call_actor::inboundHooks()
{
    inbound_hooks hooks;
    hooks.run = [this](std::uint64_t runId, const std::string& address, const call_request& request) { runAtBackend(runId, address, request); };
    hooks.cancelRun = [this](std::uint64_t runId) { cancelRun(runId); };
    hooks.runAbandoned = [this](std::uint64_t runId) { m_outbound.cancelOnwardCalls(runId, currentTime()); };
    hooks.findOtherHome = [this](const std::string& service, std::chrono::steady_clock::time_point now) { return m_outbound.chooseHomeExcept(m_parameters.incarnation, service, now); };
    hooks.handedOver = [](const std::string& requestId, const member& home) {
        logEvent(events::ticketHandedOver, { { "request_id", requestId }, { "home", home.name } });
    };
    hooks.random = m_parameters.random;
    return hooks;
}

admission_settings call_actor::admissionSettings() const
{
    admission_settings settings;
    settings.policy = m_parameters.policy;
    settings.randomBelow = [random = m_parameters.random](std::uint64_t bound) { return random() % bound; };
    return settings;
}

outbound_hooks call_actor::outboundHooks()
{
    outbound_hooks hooks;
    hooks.send = [this](std::uint64_t attemptId, const member& target, const call_request& request) { sendAttempt(attemptId, target, request); };
    hooks.cancelAttempt = [this](std::uint64_t attemptId) { cancelAttempt(attemptId); };
    hooks.attemptEnded = m_parameters.attemptEnded;
    hooks.claim = [this](std::uint64_t callId, const std::string& organisation, const std::string& key, const ticket& permit) {
        m_parameters.claims->claim(organisation, key, permit, claimTimeout, [this, callId](const claim_result& result) {
            sendSelf(claim_answered { callId, result });
        });
    };
    hooks.random = m_parameters.random;
    hooks.observed = m_parameters.observed;
    return hooks;
}

caf::behavior call_actor::make_behavior()
{
    return {
        [this](const caller_arrived& message) { callerArrived(message); },
        [this](const caller_left& message) { m_outbound.cancel(message.callId, currentTime()); },
        [this](const peer_call_arrived& message) { peerCallArrived(message); },
        [this](const peer_call_cancelled& message) { m_inbound.cancel(message.arrivalId, currentTime()); },
        [this](const attempt_answered& message) {
            m_peerCallByAttempt.erase(message.attemptId);
            m_arrivalByLocalAttempt.erase(message.attemptId);
            m_outbound.attemptAnswered(message.attemptId, message.answer, currentTime());
        },
        [this](const run_answered& message) {
            m_backendCallByRun.erase(message.runId);
            if (message.answer.outcome.run == execution::Ran) {
                m_parameters.backendAnswered();
            }
            m_inbound.backendAnswered(message.runId, message.answer, currentTime());
        },
        [this](const claim_answered& message) { m_outbound.claimAnswered(message.callId, message.result, currentTime()); },
        [this](const members_changed& message) { m_outbound.setMembers(message.members, currentTime()); },
        [this](const contracts_changed& message) {
            m_inbound.setContracts(*message.contracts);
            m_outbound.setContracts(message.contracts);
        },
        [this](const backend_announced& message) { m_inbound.setBackend(message.announcement, currentTime()); },
        [this](const backend_withdrawn&) { m_inbound.setBackend(std::nullopt, currentTime()); },
        [this](const drain_changed& message) { m_inbound.setDraining(message.draining); },
        [this](const intake_changed& message) { m_outbound.setIntake(message.intake); },
        [this](const end_calls_requested& message) {
            m_outbound.endAll(currentTime());
            message.done();
        },
        [this](const progress_requested& message) { message.receiver(m_inbound.inProgress(), m_outbound.inProgress()); },
        [this](const clock_tick&) { tick(); },
        [this](const state_requested& message) { message.receiver(dump()); },
    };
}

void call_actor::callerArrived(const caller_arrived& message)
{
    auto exchange = message.exchange;
    auto callId = m_outbound.start(
        message.request, [exchange](final_answer final) { exchange->respond(toResponse(std::move(final))); }, currentTime());
    exchange->setDisconnectHandler([this, callId] { sendSelf(caller_left { callId }); });
}

void call_actor::peerCallArrived(const peer_call_arrived& message)
{
    auto exchange = message.exchange;
    auto arrivalId = m_inbound.arrive(
        message.request, [this, exchange, context = message.request.context](const call_answer& answer) {
            observeRejection(context, answer);
            exchange->answer(answer);
        },
        currentTime());
    exchange->setCancelHandler([this, arrivalId] { sendSelf(peer_call_cancelled { arrivalId }); });
}

void call_actor::sendAttempt(std::uint64_t attemptId, const member& target, const call_request& request)
{
    auto answered = [this, attemptId](const call_answer& answer) { sendSelf(attempt_answered { attemptId, answer }); };
    if (target.id == m_parameters.incarnation) {
        auto observed = [this, answered, context = request.context](const call_answer& answer) {
            observeRejection(context, answer);
            answered(answer);
        };
        m_arrivalByLocalAttempt[attemptId] = m_inbound.arrive(request, observed, currentTime());
        return;
    }
    m_peerCallByAttempt[attemptId] = m_parameters.peers->start(target.address, request, answered);
}

void call_actor::cancelAttempt(std::uint64_t attemptId)
{
    if (auto localArrival = m_arrivalByLocalAttempt.extract(attemptId)) {
        m_inbound.cancel(localArrival.mapped(), currentTime());
    }
    if (auto peerCall = m_peerCallByAttempt.extract(attemptId)) {
        m_parameters.peers->cancel(peerCall.mapped());
    }
}

void call_actor::runAtBackend(std::uint64_t runId, const std::string& address, const call_request& request)
{
    auto context = toString(context_text { request.context.requestId, runId, 0, false, 0 });
    m_backendCallByRun[runId] = m_parameters.backend->run(address, request, context, currentTime(), [this, runId](call_answer answer) {
        sendSelf(run_answered { runId, std::move(answer) });
    });
}

void call_actor::cancelRun(std::uint64_t runId)
{
    if (auto call = m_backendCallByRun.extract(runId)) {
        m_parameters.backend->cancel(call.mapped());
    }
}

void call_actor::observeRejection(const request_context& context, const call_answer& answer) const
{
    if (answer.outcome.run == execution::NotRun) {
        m_parameters.observed({ call_decision::Rejected, context, currentTime(), answer.outcome, "at the local backend server" });
    }
}

void call_actor::tick()
{
    auto now = currentTime();
    m_inbound.tick(now);
    m_outbound.tick(now);
}

Json::Value call_actor::dump() const
{
    Json::Value state;
    state["inbound"] = dumpGate(m_inbound.gate());
    state["inbound"]["in_progress"] = Json::UInt64(m_inbound.inProgress());
    state["inbound"]["draining"] = m_inbound.draining();
    state["inbound"]["ledger_entries"] = Json::UInt64(m_inbound.ledgerSize());
    state["entrance"] = dumpEntrance(m_outbound.entrance());
    state["outbound"]["in_progress"] = Json::UInt64(m_outbound.inProgress());
    if (const auto& backend = m_inbound.backend()) {
        state["backend_server"]["service"] = backend->service;
        state["backend_server"]["address"] = backend->address;
        state["backend_server"]["slots"] = backend->slots;
    }
    return state;
}

}
