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

    constexpr std::uint32_t leastErrorStatus = 400;

    // Whether a refusal comes from servers that cannot be reached now.
    bool isUnavailable(verdict_reason reason)
    {
        return reason == verdict_reason::NoBackendServer || reason == verdict_reason::PeerUnreachable
            || reason == verdict_reason::BackendUnreachable || reason == verdict_reason::Draining;
    }

    // About the time in which the members' news and avoidances pass, spread out
    // so that refused callers do not return together.
    std::chrono::milliseconds unavailableRetryAfter(std::uint64_t random)
    {
        constexpr std::uint64_t least = 200;
        constexpr std::uint64_t spread = 300;
        return std::chrono::milliseconds(least + random % spread);
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

std::optional<outbound_calls::early_refusal> outbound_calls::classify(const caller_request& asked,
    const std::optional<context_text>& brought, outbound_call& call, std::chrono::steady_clock::time_point now) const
{
    std::optional<request_context> parent;
    if (brought && brought->runId != 0) {
        parent = m_inbound.contextOfRun(brought->runId);
    }
    if (!parent) {
        return classifyEntry(asked, brought, call, now);
    }
    auto& context = call.request.context;
    context = *parent;
    context.depth = parent->depth + 1;
    context.idempotent = isIdempotentMethod(asked.method);
    if (asked.timeout) {
        context.deadline = std::min(context.deadline, now + *asked.timeout);
    }
    call.parentRun = brought->runId;
    call.progress = call_progress(context.idempotent, m_inbound.takeTokens(call.parentRun), false);
    return std::nullopt;
}

std::optional<outbound_calls::early_refusal> outbound_calls::classifyEntry(const caller_request& asked,
    const std::optional<context_text>& brought, outbound_call& call, std::chrono::steady_clock::time_point now) const
{
    auto& context = call.request.context;
    context.requestId = brought ? brought->requestId : hexText(m_hooks.random());
    auto found = m_contracts->byOrganisation.find(asked.organisation);
    if (found == m_contracts->byOrganisation.end()) {
        return early_refusal { verdict::notRun(verdict_reason::UnknownOrganisation), "no contract in force is for customer '" + asked.organisation + "'; apply one or mend the field Vanillashunt-Customer" };
    }
    const auto* kind = findClass(found->second.terms, asked.service, asked.method, pathWithoutQuery(asked.path));
    if (!kind) {
        return early_refusal { verdict::notRun(verdict_reason::UnknownClass), "the contract of customer '" + asked.organisation + "' has no class for " + asked.method + " of service '" + asked.service + "' at " + pathWithoutQuery(asked.path) };
    }
    context.organisation = asked.organisation;
    context.requestClass = kind->name;
    context.level = kind->level;
    context.position = sheddingPosition(kind->level, context.requestId);
    context.idempotent = kind->idempotent;
    auto time = asked.timeout ? std::min(*asked.timeout, kind->deadline) : kind->deadline;
    context.deadline = now + time;
    auto history = readHistory(asked, brought, kind->retries);
    call.progress = call_progress(kind->idempotent, history.tokens, history.earlierMayHaveRun);
    call.callerAttempt = asked.attempt;
    return std::nullopt;
}

std::optional<outbound_calls::early_refusal> outbound_calls::stopRefusal(const outbound_call& call) const
{
    if (accepts(m_intake, call.parentRun != 0)) {
        return std::nullopt;
    }
    return early_refusal { verdict::notRun(verdict_reason::Draining), "this node stops; repeat the request at another" };
}

// An onward call is never refused here: its whole request was let in at this very
// position, and its run would be wasted. Neither is a repeat that brings a ticket,
// which may only want the answer that its home keeps for it.
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

void outbound_calls::learnAtEntrance(const outbound_call& call, const call_answer& answer, std::chrono::steady_clock::time_point now)
{
    // An answer that no admission gate has seen tells nothing of the cut.
    if (call.parentRun != 0 || answer.limit == 0) {
        return;
    }
    auto request = entranceRequest(call.request.context);
    m_entrance.recordCut(request, { answer.cut, answer.outcome.retryAfter }, now);
    if (answer.outcome.run == execution::Ran && answer.outcome.reason == verdict_reason::Answered) {
        m_entrance.recordDuration(request, std::chrono::duration_cast<std::chrono::microseconds>(now - call.arrived), now);
    }
}

std::uint64_t outbound_calls::start(caller_request asked, final_handler handler, std::chrono::steady_clock::time_point now)
{
    auto callId = m_hooks.random();
    auto brought = parseContextText(asked.context);
    outbound_call call;
    call.handler = std::move(handler);
    call.request.callId = callId;
    call.arrived = now;
    auto refusal = classify(asked, brought, call, now);
    if (asked.permit) {
        call.progress.setPermit(*asked.permit, permit_origin::Received);
    }
    call.request.service = std::move(asked.service);
    call.request.method = std::move(asked.method);
    call.request.path = std::move(asked.path);
    call.request.fields = std::move(asked.fields);
    call.request.body = std::move(asked.body);
    if (!refusal) {
        refusal = stopRefusal(call);
    }
    if (!refusal) {
        refusal = entranceRefusal(call, now);
    }
    m_calls.emplace(callId, std::move(call));
    if (refusal) {
        finish(callId, makeCallAnswer(callId, 0, refusal->why), refusal->message, now);
        return callId;
    }
    m_retryBudget.firstAttempt(m_calls.at(callId).request.service);
    bool claimNeeded = !asked.idempotencyKey.empty() && m_calls.at(callId).progress.needsPermit() && m_calls.at(callId).parentRun == 0;
    if (claimNeeded) {
        startClaim(callId, asked.idempotencyKey, now);
    } else if (m_calls.at(callId).progress.mustNotRun()) {
        finish(callId, makeCallAnswer(callId, 0, verdict::mayHaveRun(verdict_reason::TicketUnknown)), "an earlier try may have run; repeat a non-idempotent request with its Idempotency-Key or with the ticket of the last refusal", now);
    } else {
        attempt(callId, now);
    }
    return callId;
}

// A key without a ticket may be a repeat of a request that came through another
// node, so the store has to say which ticket stands for it.
void outbound_calls::startClaim(std::uint64_t callId, const std::string& idempotencyKey, std::chrono::steady_clock::time_point now)
{
    auto& call = m_calls.at(callId);
    auto target = chooseTarget(call, now);
    if (!target) {
        attempt(callId, now);
        return;
    }
    call.claiming = mintTicket(*target, m_hooks.random(), now);
    call.claiming->claimed = true;
    if (!m_claimBudget.take(m_liveNodes, now)) {
        claimAnswered(callId, claim_unknown {}, now);
        return;
    }
    m_hooks.claim(callId, call.request.context.organisation, idempotencyKey, *call.claiming);
}

void outbound_calls::claimAnswered(std::uint64_t callId, const claim_result& result, std::chrono::steady_clock::time_point now)
{
    auto found = m_calls.find(callId);
    if (found == m_calls.end() || !found->second.claiming) {
        return;
    }
    auto& call = found->second;
    auto own = *call.claiming;
    call.claiming.reset();
    if (std::holds_alternative<claim_unknown>(result)) {
        if (call.progress.mustNotRun()) {
            // The store may hold a claim of an earlier try, and only it knows.
            auto why = verdict::mayHaveRun(verdict_reason::TicketNeeded);
            why.retryAfter = unavailableRetryAfter(m_hooks.random());
            finish(callId, makeCallAnswer(callId, 0, why), "the store that knows this Idempotency-Key does not answer; repeat the request later", now);
            return;
        }
        // The ticket goes to the caller unused: its repeat needs no store.
        call.progress.setPermit(own, permit_origin::Received);
        finish(callId, makeCallAnswer(callId, 0, verdict::notRun(verdict_reason::TicketNeeded)), "repeat the request with the enclosed ticket", now);
        return;
    }
    call.progress.setClaimKnown();
    if (const auto* standing = std::get_if<claim_standing>(&result)) {
        call.progress.setPermit(standing->permit, permit_origin::Received);
    } else {
        call.progress.setPermit(own, permit_origin::Received);
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
        auto why = call.progress.permit() ? verdict::mayHaveRun(verdict_reason::TicketUnknown) : verdict::notRun(verdict_reason::NoBackendServer);
        finish(callId, makeCallAnswer(callId, call.progress.attempts(), why), "no backend server of service '" + call.request.service + "' can take the request now", now);
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
    m_callOfAttempt[call.attemptId] = callId;
    m_router.started(target->id, now);
    observe(call, start.attempt > 1 ? call_decision::Retry : call_decision::Attempt, now, target->name);
    m_hooks.send(call.attemptId, *target, call.request);
}

void outbound_calls::attemptAnswered(std::uint64_t attemptId, call_answer answer, std::chrono::steady_clock::time_point now)
{
    auto node = m_callOfAttempt.extract(attemptId);
    if (!node) {
        return;
    }
    auto callId = node.mapped();
    auto& call = m_calls.at(callId);
    route_outcome outcome { answer.outcome, std::chrono::duration_cast<std::chrono::microseconds>(now - call.attemptStarted), answer.cut, answer.inFlight, answer.limit };
    m_router.finished(call.target, outcome, now);
    // A node that answers tells its limit, also where its backend server lost the answer.
    bool nothingCameBack = answer.limit == 0 && (answer.outcome.reason == verdict_reason::PeerUnreachable || answer.outcome.reason == verdict_reason::AnswerLost);
    m_hooks.ended(call.target, !nothingCameBack);
    call.attemptId = 0;
    call.cut = std::max(call.cut, answer.cut);
    learnAtEntrance(call, answer, now);
    if (answer.outcome.reason != verdict_reason::Answered) {
        observe(call, call_decision::AttemptFailed, now, answer, "");
    }
    call.progress.finished({ answer.outcome, answer.retryTokens, answer.nextUse, call.request.context.position < answer.cut, answer.successor });
    bool retry = call.progress.mayRetry(call.request.context.deadline, now)
        && (call.progress.repeatsUse() || m_retryBudget.takeRetry(call.request.service));
    if (!retry) {
        finish(callId, std::move(answer), "the request was given up", now);
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
    bool succeeded = run == execution::Ran && answer.status < leastErrorStatus;
    if (!succeeded && entry && !call.request.context.idempotent) {
        result.permit = permitForRepeat(call, run, now);
    }
    observe(call, call_decision::Finished, now, answer, result.message);
    result.answer = std::move(answer);
    call.handler(std::move(result));
}

// The ticket that stands for the request from now on. Only a call that holds none
// may get a new one: a second ticket beside one that can still run would be a second run.
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
    call_observation seen { decision, call.request.context, now };
    seen.outcome = answer.outcome;
    seen.detail = detail;
    seen.isEntryRequest = call.parentRun == 0;
    seen.status = answer.status;
    seen.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - call.arrived);
    m_hooks.observed(seen);
}

void outbound_calls::abandonAttempt(outbound_call& call, std::chrono::steady_clock::time_point now)
{
    if (call.attemptId == 0) {
        return;
    }
    m_hooks.cancelAttempt(call.attemptId);
    m_callOfAttempt.erase(call.attemptId);
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
    observe(call, call_decision::Finished, now, makeCallAnswer(callId, 0, verdict::mayHaveRun(verdict_reason::CallerGone)), "the caller left");
    if (call.parentRun != 0) {
        m_inbound.onwardFinished(call.parentRun, call.progress.tokens(), call.cut);
    }
}

void outbound_calls::cancelOnwardOf(std::uint64_t runId, std::chrono::steady_clock::time_point now)
{
    std::vector<std::uint64_t> onward;
    for (const auto& [callId, call] : m_calls) {
        if (call.parentRun == runId) {
            onward.push_back(callId);
        }
    }
    for (auto callId : onward) {
        abandonAttempt(m_calls.at(callId), now);
        finish(callId, makeCallAnswer(callId, 0, verdict::mayHaveRun(verdict_reason::CallerGone)), "the run that made this call was given up", now);
    }
}

void outbound_calls::tick(std::chrono::steady_clock::time_point now)
{
    auto deadlinePassed = [now](const outbound_call& call) { return call.request.context.deadline <= now; };
    endCalls(deadlinePassed, verdict_reason::DeadlinePassed, "the time of the request is over", now);
}

void outbound_calls::endAll(std::chrono::steady_clock::time_point now)
{
    m_intake = call_intake::None;
    auto everyCall = [](const outbound_call&) { return true; };
    endCalls(everyCall, verdict_reason::Draining, "this node stops; repeat the request at another", now);
}

void outbound_calls::endCalls(const std::function<bool(const outbound_call&)>& shouldEnd, verdict_reason why, const std::string& message, std::chrono::steady_clock::time_point now)
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
        finish(callId, makeCallAnswer(callId, call.progress.attempts(), verdict::notRun(why)), message, now);
    }
}

}
