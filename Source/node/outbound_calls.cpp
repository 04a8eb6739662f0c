#include "node/outbound_calls.h"

#include "caller/caller_history.h"
#include "node/inbound_calls.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace vanillashunt {

namespace {

    std::string hexText(std::uint64_t value)
    {
        char text[20];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
        return text;
    }

    // The methods that RFC 9110 (9.2.2) defines as idempotent.
    bool isIdempotentMethod(const std::string& method)
    {
        constexpr std::array<const char*, 6> methods { "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE" };
        return std::any_of(methods.begin(), methods.end(), [&](const char* candidate) { return method == candidate; });
    }

    constexpr std::uint32_t minErrorStatus = 400;

    // Whether a call was refused because no server can be reached at present.
    bool isUnavailable(verdict_reason reason)
    {
        return reason == verdict_reason::NoBackendServer || reason == verdict_reason::PeerUnreachable
            || reason == verdict_reason::BackendUnreachable || reason == verdict_reason::Draining;
    }

    // About the time in which membership changes spread and the router's avoidance of a failed
    // member ends; jitter keeps refused callers from retrying at the same time.
    std::chrono::milliseconds unavailableRetryAfter(std::uint64_t random)
    {
        constexpr std::uint64_t minDelay = 200;
        constexpr std::uint64_t jitter = 300;
        return std::chrono::milliseconds(minDelay + random % jitter);
    }

    std::string pathWithoutQuery(const std::string& path)
    {
        return path.substr(0, path.find('?'));
    }

    entrance_request entranceRequest(const request_context& context)
    {
        return { context.organisation, context.requestClass, context.position, context.deadline };
    }

}

outbound_calls::outbound_calls(router routing, inbound_calls& inbound, outbound_hooks hooks, admission_policy policy)
    : m_router(std::move(routing))
    , m_inbound(inbound)
    , m_hooks(std::move(hooks))
    , m_entrance({ policy, [random = m_hooks.random](std::uint64_t bound) { return random() % bound; } })
    , m_contracts(std::make_shared<contract_set>())
{
}

void outbound_calls::setContracts(contract_snapshot contracts)
{
    m_contracts = std::move(contracts);
}

void outbound_calls::setMembers(member_list members, std::chrono::steady_clock::time_point now)
{
    m_liveNodes = members->size();
    m_router.setMembers(std::move(members), now);
}

std::optional<outbound_calls::early_refusal> outbound_calls::classify(const caller_request& callerRequest,
    const std::optional<context_text>& receivedContext, outbound_call& call, std::chrono::steady_clock::time_point now) const
{
    std::optional<request_context> parent;
    if (receivedContext && receivedContext->runId != 0) {
        parent = m_inbound.contextOfRun(receivedContext->runId);
    }
    if (!parent) {
        return classifyEntry(callerRequest, receivedContext, call, now);
    }
    auto& context = call.request.context;
    context = *parent;
    context.depth = parent->depth + 1;
    context.idempotent = isIdempotentMethod(callerRequest.method);
    if (callerRequest.timeout) {
        context.deadline = std::min(context.deadline, now + *callerRequest.timeout);
    }
    call.parentRun = receivedContext->runId;
    call.progress = call_progress(context.idempotent, m_inbound.takeRetryTokens(call.parentRun), false);
    return std::nullopt;
}

std::optional<outbound_calls::early_refusal> outbound_calls::classifyEntry(const caller_request& callerRequest,
    const std::optional<context_text>& receivedContext, outbound_call& call, std::chrono::steady_clock::time_point now) const
{
    auto& context = call.request.context;
    context.requestId = receivedContext ? receivedContext->requestId : hexText(m_hooks.random());
    auto found = m_contracts->byOrganisation.find(callerRequest.organisation);
    if (found == m_contracts->byOrganisation.end()) {
        return early_refusal { verdict::notRun(verdict_reason::UnknownOrganisation), "no contract is in force for customer '" + callerRequest.organisation + "'; apply one or correct the header field Vanillashunt-Customer" };
    }
    const auto* matchedClass = findClass(found->second.terms, callerRequest.service, callerRequest.method, pathWithoutQuery(callerRequest.path));
    if (!matchedClass) {
        return early_refusal { verdict::notRun(verdict_reason::UnknownClass), "the contract of customer '" + callerRequest.organisation + "' has no class for " + callerRequest.method + " of service '" + callerRequest.service + "' at " + pathWithoutQuery(callerRequest.path) };
    }
    context.organisation = callerRequest.organisation;
    context.requestClass = matchedClass->name;
    context.level = matchedClass->level;
    context.position = sheddingPosition(matchedClass->level, context.requestId);
    context.idempotent = matchedClass->idempotent;
    auto time = callerRequest.timeout ? std::min(*callerRequest.timeout, matchedClass->deadline) : matchedClass->deadline;
    context.deadline = now + time;
    auto history = readHistory(callerRequest, receivedContext, matchedClass->retries);
    call.progress = call_progress(matchedClass->idempotent, history.tokens, history.earlierMayHaveRun);
    call.callerAttempt = callerRequest.attempt;
    return std::nullopt;
}

std::optional<outbound_calls::early_refusal> outbound_calls::intakeRefusal(const outbound_call& call) const
{
    if (accepts(m_intake, call.parentRun != 0)) {
        return std::nullopt;
    }
    return early_refusal { verdict::notRun(verdict_reason::Draining), "this node is stopping; retry the request at another node" };
}

// Onward calls are never refused here: the whole request was admitted at the same
// position, and refusing a part of it would waste the run. A repeated request with a
// ticket is not refused either, since its home may already keep the answer to it.
std::optional<outbound_calls::early_refusal> outbound_calls::entranceRefusal(const outbound_call& call, std::chrono::steady_clock::time_point now)
{
    if (call.parentRun != 0 || call.progress.permit()) {
        return std::nullopt;
    }
    auto refusal = m_entrance.refusal(entranceRequest(call.request.context), now);
    if (!refusal) {
        return std::nullopt;
    }
    return early_refusal { *refusal, "a service that the request needs would refuse it now" };
}

void outbound_calls::updateEntranceGate(const outbound_call& call, const call_answer& answer, std::chrono::steady_clock::time_point now)
{
    // A limit of 0 means that no admission gate has handled the call, so the cut is not set.
    if (call.parentRun != 0 || answer.limit == 0) {
        return;
    }
    auto request = entranceRequest(call.request.context);
    m_entrance.recordCut(request, { answer.cut, answer.outcome.retryAfter }, now);
    if (answer.outcome.run == execution::Ran && answer.outcome.reason == verdict_reason::Answered) {
        m_entrance.recordDuration(request, std::chrono::duration_cast<std::chrono::microseconds>(now - call.arrived), now);
    }
}

std::uint64_t outbound_calls::start(caller_request callerRequest, final_answer_handler handler, std::chrono::steady_clock::time_point now)
{
    auto callId = m_hooks.random();
    auto receivedContext = parseContextText(callerRequest.context);
    outbound_call call;
    call.handler = std::move(handler);
    call.request.callId = callId;
    call.arrived = now;
    auto refusal = classify(callerRequest, receivedContext, call, now);
    if (callerRequest.permit) {
        call.progress.setPermit(*callerRequest.permit, permit_origin::Received);
    }
    call.request.service = std::move(callerRequest.service);
    call.request.method = std::move(callerRequest.method);
    call.request.path = std::move(callerRequest.path);
    call.request.fields = std::move(callerRequest.fields);
    call.request.body = std::move(callerRequest.body);
    if (!refusal) {
        refusal = intakeRefusal(call);
    }
    if (!refusal) {
        refusal = entranceRefusal(call, now);
    }
    m_calls.emplace(callId, std::move(call));
    if (refusal) {
        finish(callId, makeCallAnswer(callId, 0, refusal->cause), refusal->message, now);
        return callId;
    }
    m_retryBudget.firstAttempt(m_calls.at(callId).request.service);
    bool claimNeeded = !callerRequest.idempotencyKey.empty() && m_calls.at(callId).progress.needsPermit() && m_calls.at(callId).parentRun == 0;
    if (claimNeeded) {
        startClaim(callId, callerRequest.idempotencyKey, now);
    } else if (m_calls.at(callId).progress.mustNotRun()) {
        finish(callId, makeCallAnswer(callId, 0, verdict::mayHaveRun(verdict_reason::TicketUnknown)), "an earlier attempt may have run; retry a non-idempotent request with its Idempotency-Key or with the ticket from the last refusal", now);
    } else {
        attempt(callId, now);
    }
    return callId;
}

// A request with an Idempotency-Key but no ticket may repeat one that was made through
// another node, so the store has to tell which ticket belongs to the key.
void outbound_calls::startClaim(std::uint64_t callId, const std::string& idempotencyKey, std::chrono::steady_clock::time_point now)
{
    auto& call = m_calls.at(callId);
    auto target = chooseTarget(call, now);
    if (!target) {
        attempt(callId, now);
        return;
    }
    call.pendingClaim = mintTicket(*target, m_hooks.random(), now);
    call.pendingClaim->claimed = true;
    if (!m_claimBudget.take(m_liveNodes, now)) {
        claimAnswered(callId, claim_unknown {}, now);
        return;
    }
    m_hooks.claim(callId, call.request.context.organisation, idempotencyKey, *call.pendingClaim);
}

void outbound_calls::claimAnswered(std::uint64_t callId, const claim_result& result, std::chrono::steady_clock::time_point now)
{
    auto found = m_calls.find(callId);
    if (found == m_calls.end() || !found->second.pendingClaim) {
        return;
    }
    auto& call = found->second;
    auto ownTicket = *call.pendingClaim;
    call.pendingClaim.reset();
    if (std::holds_alternative<claim_unknown>(result)) {
        if (call.progress.mustNotRun()) {
            // The store may hold a claim of an earlier attempt, which is unknown here.
            auto cause = verdict::mayHaveRun(verdict_reason::TicketNeeded);
            cause.retryAfter = unavailableRetryAfter(m_hooks.random());
            finish(callId, makeCallAnswer(callId, 0, cause), "the store that holds the claim of this Idempotency-Key does not answer; retry the request later", now);
            return;
        }
        // The caller gets the unused ticket, and can retry with it without the store.
        call.progress.setPermit(ownTicket, permit_origin::Received);
        finish(callId, makeCallAnswer(callId, 0, verdict::notRun(verdict_reason::TicketNeeded)), "retry the request with the enclosed ticket", now);
        return;
    }
    call.progress.setClaimKnown();
    if (const auto* existing = std::get_if<claim_standing>(&result)) {
        call.progress.setPermit(existing->permit, permit_origin::Received);
    } else {
        call.progress.setPermit(ownTicket, permit_origin::Received);
    }
    attempt(callId, now);
}

std::optional<member> outbound_calls::chooseTarget(const outbound_call& call, std::chrono::steady_clock::time_point now)
{
    if (const auto& permit = call.progress.permit()) {
        return m_router.find(permit->home);
    }
    return m_router.choose({ call.request.service, call.progress.tried() }, now);
}

void outbound_calls::attempt(std::uint64_t callId, std::chrono::steady_clock::time_point now)
{
    auto& call = m_calls.at(callId);
    auto target = chooseTarget(call, now);
    if (!target) {
        auto cause = call.progress.permit() ? verdict::mayHaveRun(verdict_reason::TicketUnknown) : verdict::notRun(verdict_reason::NoBackendServer);
        finish(callId, makeCallAnswer(callId, call.progress.attempts(), cause), "no backend server of service '" + call.request.service + "' can accept the request now", now);
        return;
    }
    if (call.progress.needsPermit()) {
        call.progress.setPermit(mintTicket(*target, m_hooks.random(), now), permit_origin::Minted);
    }
    auto start = call.progress.begin(target->id);
    call.request.permit = call.progress.permit();
    call.request.attempt = start.attempt;
    call.request.context.retryTokens = start.tokens;
    call.target = target->id;
    call.attemptStarted = now;
    call.attemptId = m_hooks.random();
    m_callByAttempt[call.attemptId] = callId;
    m_router.started(target->id, now);
    observe(call, start.attempt > 1 ? call_decision::Retry : call_decision::Attempt, now, target->name);
    m_hooks.send(call.attemptId, *target, call.request);
}

void outbound_calls::attemptAnswered(std::uint64_t attemptId, call_answer answer, std::chrono::steady_clock::time_point now)
{
    auto node = m_callByAttempt.extract(attemptId);
    if (!node) {
        return;
    }
    auto callId = node.mapped();
    auto& call = m_calls.at(callId);
    route_outcome outcome { answer.outcome, std::chrono::duration_cast<std::chrono::microseconds>(now - call.attemptStarted), answer.cut, answer.inFlight, answer.limit };
    m_router.finished(call.target, outcome, now);
    // Every node that responds reports its limit, even if its backend server's answer was lost.
    bool noResponse = answer.limit == 0 && (answer.outcome.reason == verdict_reason::PeerUnreachable || answer.outcome.reason == verdict_reason::AnswerLost);
    m_hooks.attemptEnded(call.target, !noResponse);
    call.attemptId = 0;
    call.cut = std::max(call.cut, answer.cut);
    updateEntranceGate(call, answer, now);
    if (answer.outcome.reason != verdict_reason::Answered) {
        observe(call, call_decision::AttemptFailed, now, answer, "");
    }
    call.progress.finished({ answer.outcome, answer.retryTokens, answer.nextUse, call.request.context.position < answer.cut, answer.successor });
    bool retry = call.progress.mayRetry(call.request.context.deadline, now)
        && (call.progress.repeatsUse() || m_retryBudget.takeRetry(call.request.service));
    if (!retry) {
        finish(callId, std::move(answer), "the request failed and this node does not retry it further", now);
        return;
    }
    call.progress.retry();
    attempt(callId, now);
}

void outbound_calls::finish(std::uint64_t callId, call_answer answer, const std::string& message, std::chrono::steady_clock::time_point now)
{
    auto node = m_calls.extract(callId);
    auto& call = node.mapped();
    answer.outcome.run = call.progress.overall(answer.outcome.run);
    auto run = answer.outcome.run;
    if (run != execution::Ran && isUnavailable(answer.outcome.reason)) {
        answer.outcome.retryAfter = unavailableRetryAfter(m_hooks.random());
    }
    final_answer result;
    result.requestId = call.request.context.requestId;
    bool entry = call.parentRun == 0;
    if (!entry) {
        m_inbound.onwardFinished(call.parentRun, call.progress.tokens(), std::max(call.cut, answer.cut));
    }
    if (run != execution::Ran) {
        result.message = message;
    }
    if (entry) {
        result.context = toString(context_text { result.requestId, 0, call.progress.tokens(), run != execution::NotRun, call.callerAttempt });
    }
    bool succeeded = run == execution::Ran && answer.status < minErrorStatus;
    if (!succeeded && entry && !call.request.context.idempotent) {
        result.permit = permitForRepeat(call, run, now);
    }
    observe(call, call_decision::Finished, now, answer, result.message);
    result.answer = std::move(answer);
    call.handler(std::move(result));
}

// Returns the ticket that the caller has to retry the request with. Only a call without
// a ticket may get a new one: with a second ticket the request could run twice.
std::optional<ticket> outbound_calls::permitForRepeat(const outbound_call& call, execution run, std::chrono::steady_clock::time_point now)
{
    if (call.progress.permit() || run != execution::NotRun) {
        return call.progress.permit();
    }
    auto home = m_router.choose({ call.request.service, {} }, now);
    if (!home) {
        return std::nullopt;
    }
    return mintTicket(*home, m_hooks.random(), now);
}

void outbound_calls::observe(const outbound_call& call, call_decision decision, std::chrono::steady_clock::time_point now, const std::string& detail) const
{
    observe(call, decision, now, {}, detail);
}

void outbound_calls::observe(const outbound_call& call, call_decision decision, std::chrono::steady_clock::time_point now, const call_answer& answer, const std::string& detail) const
{
    if (!m_hooks.observed) {
        return;
    }
    call_observation observation { decision, call.request.context, now };
    observation.outcome = answer.outcome;
    observation.detail = detail;
    observation.isEntryRequest = call.parentRun == 0;
    observation.status = answer.status;
    observation.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - call.arrived);
    m_hooks.observed(observation);
}

void outbound_calls::abandonAttempt(outbound_call& call, std::chrono::steady_clock::time_point now)
{
    if (call.attemptId == 0) {
        return;
    }
    m_hooks.cancelAttempt(call.attemptId);
    m_callByAttempt.erase(call.attemptId);
    m_router.cancelled(call.target, now);
    call.progress.abandoned();
    call.attemptId = 0;
}

void outbound_calls::cancel(std::uint64_t callId, std::chrono::steady_clock::time_point now)
{
    auto node = m_calls.extract(callId);
    if (!node) {
        return;
    }
    auto& call = node.mapped();
    abandonAttempt(call, now);
    observe(call, call_decision::Finished, now, makeCallAnswer(callId, 0, verdict::mayHaveRun(verdict_reason::CallerGone)), "the caller left before it got an answer");
    if (call.parentRun != 0) {
        m_inbound.onwardFinished(call.parentRun, call.progress.tokens(), call.cut);
    }
}

void outbound_calls::cancelOnwardCalls(std::uint64_t runId, std::chrono::steady_clock::time_point now)
{
    std::vector<std::uint64_t> onward;
    for (const auto& [callId, call] : m_calls) {
        if (call.parentRun == runId) {
            onward.push_back(callId);
        }
    }
    for (auto callId : onward) {
        abandonAttempt(m_calls.at(callId), now);
        finish(callId, makeCallAnswer(callId, 0, verdict::mayHaveRun(verdict_reason::CallerGone)), "the run that made this call was abandoned", now);
    }
}

void outbound_calls::tick(std::chrono::steady_clock::time_point now)
{
    auto deadlinePassed = [now](const outbound_call& call) { return call.request.context.deadline <= now; };
    endCalls(deadlinePassed, verdict_reason::DeadlinePassed, "the deadline of the request has passed", now);
}

void outbound_calls::endAll(std::chrono::steady_clock::time_point now)
{
    m_intake = call_intake::None;
    auto everyCall = [](const outbound_call&) { return true; };
    endCalls(everyCall, verdict_reason::Draining, "this node is stopping; retry the request at another node", now);
}

void outbound_calls::endCalls(const std::function<bool(const outbound_call&)>& shouldEnd, verdict_reason cause, const std::string& message, std::chrono::steady_clock::time_point now)
{
    std::vector<std::uint64_t> callIds;
    for (const auto& [callId, call] : m_calls) {
        if (shouldEnd(call)) {
            callIds.push_back(callId);
        }
    }
    for (auto callId : callIds) {
        auto& call = m_calls.at(callId);
        abandonAttempt(call, now);
        finish(callId, makeCallAnswer(callId, call.progress.attempts(), verdict::notRun(cause)), message, now);
    }
}

}
