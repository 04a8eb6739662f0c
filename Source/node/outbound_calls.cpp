#include "node/outbound_calls.h"

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

    std::string pathWithoutQuery(const std::string& path)
    {
        return path.substr(0, path.find('?'));
    }

    // Whether a caller's try can be its first of a request, by its own words.
    bool isFirstTry(const caller_request& asked, bool bringsContext)
    {
        if (bringsContext || asked.permit) {
            return false;
        }
        return asked.attempt == 1 || (asked.attempt == 0 && asked.idempotencyKey.empty());
    }

}

outbound_calls::outbound_calls(router routing, inbound_calls& inbound, outbound_hooks hooks)
    : m_router(std::move(routing))
    , m_inbound(inbound)
    , m_hooks(std::move(hooks))
    , m_contracts(std::make_shared<contract_set>())
{
}

void outbound_calls::setContracts(contract_snapshot contracts)
{
    m_contracts = std::move(contracts);
}

void outbound_calls::setMembers(member_list members, std::chrono::steady_clock::time_point now)
{
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
    return std::nullopt;
}

std::optional<outbound_calls::early_refusal> outbound_calls::classifyEntry(const caller_request& asked,
    const std::optional<context_text>& brought, outbound_call& call, std::chrono::steady_clock::time_point now) const
{
    auto& context = call.request.context;
    context.requestId = brought ? brought->requestId : hexText(m_hooks.random());
    auto found = m_contracts->byCustomer.find(asked.customer);
    if (found == m_contracts->byCustomer.end()) {
        return early_refusal { verdict::notRun(verdict_reason::UnknownCustomer), "no contract in force is for customer '" + asked.customer + "'; apply one or mend the field Vanillashunt-Customer" };
    }
    const auto* kind = findClass(found->second.terms, asked.service, asked.method, pathWithoutQuery(asked.path));
    if (!kind) {
        return early_refusal { verdict::notRun(verdict_reason::UnknownClass), "the contract of customer '" + asked.customer + "' has no class for " + asked.method + " of service '" + asked.service + "' at " + pathWithoutQuery(asked.path) };
    }
    context.customer = asked.customer;
    context.requestClass = kind->name;
    context.level = kind->level;
    context.position = sheddingPosition(kind->level, context.requestId);
    context.idempotent = kind->idempotent;
    auto time = asked.timeout ? std::min(*asked.timeout, kind->deadline) : kind->deadline;
    context.deadline = now + time;
    // A repeat that brings nothing back gets no tokens, so that the repeats of
    // one request together spend no more than its allowance.
    bool first = isFirstTry(asked, brought.has_value());
    if (first) {
        call.tokens = kind->retries;
    } else if (brought) {
        call.tokens = std::min(brought->retryTokens, kind->retries);
    }
    call.mayHaveRun = !first && (!brought || brought->mayHaveRun);
    return std::nullopt;
}

std::uint64_t outbound_calls::start(caller_request asked, final_handler handler, std::chrono::steady_clock::time_point now)
{
    auto callId = m_hooks.random();
    auto brought = parseContextText(asked.context);
    outbound_call call;
    call.handler = std::move(handler);
    call.request.callId = callId;
    auto refusal = classify(asked, brought, call, now);
    if (call.parentRun != 0) {
        call.tokens = m_inbound.takeTokens(call.parentRun);
    }
    call.permitFromCaller = asked.permit.has_value();
    call.request.permit = asked.permit;
    call.request.service = std::move(asked.service);
    call.request.method = std::move(asked.method);
    call.request.path = std::move(asked.path);
    call.request.fields = std::move(asked.fields);
    call.request.body = std::move(asked.body);
    m_calls.emplace(callId, std::move(call));
    if (refusal) {
        finish(callId, answerWithout(callId, 0, refusal->why), refusal->message, now);
        return callId;
    }
    attempt(callId, now);
    return callId;
}

std::optional<member> outbound_calls::chooseTarget(outbound_call& call, std::chrono::steady_clock::time_point now)
{
    if (call.request.permit) {
        return m_router.find(call.request.permit->home);
    }
    return m_router.choose({ call.request.service, call.request.context.position, call.tried }, now);
}

void outbound_calls::attempt(std::uint64_t callId, std::chrono::steady_clock::time_point now)
{
    auto& call = m_calls.at(callId);
    auto target = chooseTarget(call, now);
    if (!target) {
        auto why = call.request.permit ? verdict::mayHaveRun(verdict_reason::TicketUnknown) : verdict::notRun(verdict_reason::NoBackendServer);
        finish(callId, answerWithout(callId, call.attempts, why), "no backend server of service '" + call.request.service + "' can take the request now", now);
        return;
    }
    if (!call.request.context.idempotent && !call.request.permit) {
        call.request.permit = mintTicket(*target, m_hooks.random(), now);
    }
    // Half of the tokens stay here, for a retry after an answer that was lost
    // together with the tokens that it carried.
    call.tokensSent = (call.tokens + 1) / 2;
    call.tokens -= call.tokensSent;
    call.request.context.retryTokens = call.tokensSent;
    call.request.attempt = ++call.attempts;
    call.tried.push_back(target->id);
    call.target = target->id;
    call.attemptStarted = now;
    call.attemptId = m_hooks.random();
    m_callOfAttempt[call.attemptId] = callId;
    m_router.started(target->id, now);
    m_hooks.send(call.attemptId, *target, call.request);
}

bool outbound_calls::mayRetry(const outbound_call& call, const verdict& outcome, std::chrono::steady_clock::time_point now) const
{
    if (call.tokens == 0 || call.request.context.deadline <= now || outcome.run == execution::Ran) {
        return false;
    }
    // What is shed at one server is shed everywhere; asking again would only add load.
    bool shed = outcome.reason == verdict_reason::Overload || outcome.reason == verdict_reason::OverShare;
    return !shed && outcome.reason != verdict_reason::DeadlinePassed && outcome.reason != verdict_reason::DeadlineTooShort;
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
    call.attemptId = 0;
    call.cut = std::max(call.cut, answer.cut);
    bool neverSent = answer.outcome.reason == verdict_reason::PeerUnreachable;
    call.tokens += neverSent ? call.tokensSent : std::min(answer.retryTokens, call.tokensSent);
    call.tokensSent = 0;
    bool ownPermitUnused = call.request.permit && !call.permitFromCaller && answer.outcome.run == execution::NotRun;
    if (answer.outcome.run == execution::MayHaveRun || (call.request.permit && !ownPermitUnused && neverSent)) {
        call.mayHaveRun = true;
    } else if (ownPermitUnused && !call.mayHaveRun) {
        // Burnt at its home, or never sent there: another home may be asked.
        call.request.permit.reset();
    }
    if (!mayRetry(call, answer.outcome, now)) {
        finish(callId, std::move(answer), "the request was given up", now);
        return;
    }
    --call.tokens;
    attempt(callId, now);
}

void outbound_calls::finish(std::uint64_t callId, call_answer answer, const std::string& message, std::chrono::steady_clock::time_point now)
{
    auto node = m_calls.extract(callId);
    auto& call = node.mapped();
    if (call.mayHaveRun && answer.outcome.run == execution::NotRun) {
        answer.outcome.run = execution::MayHaveRun;
    }
    final_answer result;
    result.requestId = call.request.context.requestId;
    if (call.parentRun != 0) {
        m_inbound.onwardFinished(call.parentRun, call.tokens, std::max(call.cut, answer.cut));
    }
    if (answer.outcome.run != execution::Ran) {
        result.message = message;
        result.context = toString(context_text { result.requestId, call.parentRun, call.parentRun == 0 ? call.tokens : 0, answer.outcome.run != execution::NotRun });
    }
    if (answer.outcome.run != execution::Ran && !call.request.context.idempotent && call.parentRun == 0) {
        if (answer.outcome.run == execution::MayHaveRun) {
            result.permit = call.request.permit;
        } else if (auto home = m_router.choose({ call.request.service, call.request.context.position, {} }, now)) {
            result.permit = mintTicket(*home, m_hooks.random(), now);
        }
    }
    result.answer = std::move(answer);
    call.handler(std::move(result));
}

void outbound_calls::abandonAttempt(outbound_call& call, std::chrono::steady_clock::time_point now)
{
    if (call.attemptId == 0) {
        return;
    }
    m_hooks.cancelAttempt(call.attemptId);
    m_callOfAttempt.erase(call.attemptId);
    m_router.cancelled(call.target, now);
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
    if (call.parentRun != 0) {
        m_inbound.onwardFinished(call.parentRun, call.tokens, call.cut);
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
        finish(callId, answerWithout(callId, 0, verdict::mayHaveRun(verdict_reason::CallerGone)), "the run that made this call was given up", now);
    }
}

void outbound_calls::tick(std::chrono::steady_clock::time_point now)
{
    std::vector<std::uint64_t> late;
    for (const auto& [callId, call] : m_calls) {
        if (call.request.context.deadline <= now) {
            late.push_back(callId);
        }
    }
    for (auto callId : late) {
        auto& call = m_calls.at(callId);
        abandonAttempt(call, now);
        finish(callId, answerWithout(callId, call.attempts, verdict::mayHaveRun(verdict_reason::DeadlinePassed)), "the time of the request is over", now);
    }
}

}
