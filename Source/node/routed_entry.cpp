#include "node/routed_entry.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr unsigned statusUnauthorized = 401;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusTooManyRequests = 429;
    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusGatewayTimeout = 504;
    constexpr unsigned leastServerError = 500;

    // Servers' nodes that are asked in turn while each refuses before its server is reached.
    constexpr std::size_t mostRefusals = 3;

    // Targets that are asked for a free slot before the call waits at one more. Each costs
    // a way there and back, a few milliseconds at most, where the wait is of tens to hundreds.
    // At 0.85 of the capacity 0.97 of the calls are answered with three, for 2.0 attempts each,
    // and 0.81 with none (the test FreeSlots).
    constexpr std::size_t mostFull = 3;

    // Advice where a server is missing: what it takes until another is known, or
    // until the configuration has come. Spread, so that nobody returns together.
    constexpr std::chrono::milliseconds shortestReturn { 150 };
    constexpr std::uint64_t returnSpread = 300;

    // A request is not sent again with less time than this: it would only add load.
    constexpr std::chrono::milliseconds leastTimeToRetry { 20 };

    // A request waits for its organisation's quota no longer than this part of the time in
    // which its sender wants the answer, and no longer than this.
    constexpr int targetPartToWait = 8;
    constexpr std::chrono::milliseconds longestQuotaWait { 200 };

    constexpr std::uint64_t chanceSteps = 1U << 20U;

    importance importanceOf(std::uint32_t priority)
    {
        if (priority == 0) {
            return importance::Confirmed;
        }
        return priority == 1 ? importance::Interactive : importance::Deferrable;
    }

    // Whether the answer says that the request came as far as a server.
    bool reachedServer(const verdict& outcome)
    {
        return outcome.run != execution::NotRun || outcome.reason == verdict_reason::BackendRefused;
    }

    unsigned statusOfRefusal(const verdict& outcome)
    {
        if (outcome.run == execution::NotRun && outcome.reason == verdict_reason::UnknownKey) {
            return statusUnauthorized;
        }
        if (outcome.run == execution::NotRun) {
            return outcome.reason == verdict_reason::OverQuota ? statusTooManyRequests : statusUnavailable;
        }
        return outcome.reason == verdict_reason::DeadlinePassed ? statusGatewayTimeout : statusBadGateway;
    }

}

routed_entry::routed_entry(entry_settings settings, entry_hooks hooks, time_point started)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_table(std::make_shared<route_configuration>())
    , m_organisations(std::make_shared<route_configuration>())
    , m_rotation([random = m_hooks.random] { return static_cast<double>(random() % chanceSteps) / chanceSteps; })
    , m_router(m_settings.place, [random = m_hooks.random](std::uint64_t bound) { return random() % bound; })
    , m_allowance(m_settings.retries, started)
    , m_entrance({ admission_policy::Full, [random = m_hooks.random](std::uint64_t bound) { return random() % bound; } })
{
}

void routed_entry::setConfiguration(route_snapshot configuration)
{
    if (configuration->version <= version()) {
        return;
    }
    m_organisations = organisation_directory(configuration);
    m_table = route_table(std::move(configuration));
    m_rotation.setRoutes(m_table.configuration().routes);
}

void routed_entry::setMembers(const member_list& members, time_point now)
{
    m_allowance.setNodes(members->size());
    m_router.setMembers(members, now);
}

bool routed_entry::knowsService(const std::string& name) const
{
    const auto& services = m_table.configuration().services;
    return std::any_of(services.begin(), services.end(), [&name](const route_service& each) { return each.name == name; });
}

std::string routed_entry::healthPath(const std::string& service) const
{
    const auto& services = m_table.configuration().services;
    auto found = std::find_if(services.begin(), services.end(), [&service](const route_service& each) { return each.name == service; });
    return found == services.end() ? "" : found->healthPath;
}

std::chrono::milliseconds routed_entry::comeBackAfter() const
{
    return shortestReturn + std::chrono::milliseconds(m_hooks.random() % returnSpread);
}

std::uint64_t routed_entry::arrive(entry_request request, entry_handler handler, time_point now)
{
    if (version() == 0) {
        refuseNow(request, handler, statusUnavailable, verdict::notRun(verdict_reason::UnknownService, comeBackAfter()), "no configuration is known here yet", now);
        return 0;
    }
    const auto* found = m_table.find(fieldValue(request.message.fields, "Host"), request.message.target);
    if (!found) {
        refuseNow(request, handler, statusNotFound, verdict::notRun(verdict_reason::UnknownService), "no route has this host and path", now);
        return 0;
    }
    auto origin = originOf(request, *found);
    if (origin.refusal) {
        refuseNow(request, handler, statusOfRefusal(*origin.refusal), *origin.refusal, "the request does not tell who asks", now);
        return 0;
    }
    if (!accepts(m_intake, origin.maker.has_value())) {
        refuseNow(request, handler, statusUnavailable, verdict::notRun(verdict_reason::Draining, comeBackAfter()), "the node stops", now);
        return 0;
    }
    auto callId = m_hooks.random() | 1U;
    entry_call call;
    call.arrived = now;
    call.handler = std::move(handler);
    call.maxAttempts = std::max(1U, found->maxAttempts);
    auto& sent = call.request;
    sent.attempt = 0;
    sent.callId = callId;
    sent.service = m_rotation.next(*found);
    sent.callerService = m_settings.ownService;
    sent.method = std::move(request.message.method);
    sent.path = std::move(request.message.target);
    sent.fields = std::move(request.message.fields);
    sent.body = std::move(request.message.body);
    auto& context = sent.context;
    context.requestId = std::move(request.requestId);
    context.content = fingerprintOf(sent.path, sent.body);
    context.requestClass = found->name;
    context.organisation = origin.asker ? origin.asker->name : "";
    context.level = importanceOf(found->priority);
    context.position = sheddingPosition(context.level, context.requestId);
    context.idempotent = found->idempotent;
    context.deadline = std::min(request.deadline, now + found->timeout);
    if (standingOf(call) == poison_status::Poison) {
        m_calls.emplace(callId, std::move(call));
        refusePoison(callId, now);
        return callId;
    }
    const auto& maker = origin.maker;
    if (maker) {
        // A call is part of the request that it is made for, and matters as much.
        const auto& parent = maker->context;
        call.parentRun = maker->runId;
        context.organisation = parent.organisation;
        context.level = parent.level;
        context.position = parent.position;
        context.depth = parent.depth + 1;
    } else {
        m_costs.arrived(context.requestClass, context.level, now);
        context.position = rankedPosition(m_costs.place(context.requestClass, context.position), m_organisations.rankOf(origin.asker));
        context.level = static_cast<importance>(context.position / positionsPerImportance);
    }
    std::optional<verdict> refusal;
    if (!maker) {
        auto judged = m_entrance.judge({ "", context.requestClass, context.position, context.deadline }, now);
        call.entranceCut = judged.cut;
        refusal = judged.refusal;
    }
    m_calls.emplace(callId, std::move(call));
    if (refusal) {
        giveUp(callId, *refusal, "refused here for a service further down", now);
        return callId;
    }
    if (origin.asker && origin.asker->quota.isLimited() && m_hooks.takeQuota) {
        takeQuota(callId, found->targetLatency, now);
    } else {
        attempt(callId, now);
    }
    return callId;
}

// Where the organisation's next request is allowed within a moment, waiting for that answers
// more requests than refusing: arrivals are uneven, also those below the limit.
void routed_entry::takeQuota(std::uint64_t callId, std::chrono::milliseconds targetLatency, time_point now)
{
    const auto& context = m_calls.at(callId).request.context;
    auto waitUntil = std::min(now + std::min(targetLatency / targetPartToWait, longestQuotaWait), context.deadline);
    auto waitUntilStarted = std::min(now + targetLatency / 2, context.deadline);
    quota_request request { context.organisation, context.position, waitUntil, waitUntilStarted };
    auto wait = m_hooks.takeQuota(
        request, [this, callId](quota_refusal refusal, time_point decided) { quotaDecided(callId, refusal, decided); }, now);
    auto found = m_calls.find(callId);
    if (found != m_calls.end()) {
        found->second.quotaWait = wait;
    }
}

void routed_entry::quotaDecided(std::uint64_t callId, quota_refusal refusal, time_point now)
{
    auto found = m_calls.find(callId);
    if (found == m_calls.end()) {
        return;
    }
    found->second.quotaWait = 0;
    if (refusal) {
        giveUp(callId, verdict::notRun(verdict_reason::OverQuota, *refusal), "the organisation is over its quota", now);
        return;
    }
    found->second.hasQuota = true;
    attempt(callId, now);
}

// A key tells a whole request, and the organisation that it is for. The own server's calls
// carry none: they are told by the request that their id names, and belong to its organisation.
// By a deadline alone a client without a key could pass for such a call.
routed_entry::request_origin routed_entry::originOf(const entry_request& request, const route& found) const
{
    request_origin result;
    if (!m_organisations.requiresKeys()) {
        result.maker = m_hooks.findParent(request);
        return result;
    }
    if (request.key) {
        result.asker = m_organisations.findByKey(*request.key);
    } else if (!request.parentId.empty()) {
        result.maker = m_hooks.findParent(request);
    }
    if (result.maker || result.asker || found.isPublic) {
        return result;
    }
    bool isOrphan = !request.key && !request.parentId.empty();
    result.refusal = isOrphan ? verdict::notRun(verdict_reason::UnknownParent, comeBackAfter()) : verdict::notRun(verdict_reason::UnknownKey);
    return result;
}

void routed_entry::refuseNow(const entry_request& request, const entry_handler& handler, unsigned status, const verdict& why, const std::string& message, time_point now) const
{
    if (m_hooks.observed) {
        request_context context;
        context.requestId = request.requestId;
        call_observation seen { call_decision::Finished, context, now };
        seen.outcome = why;
        seen.detail = message;
        seen.whole = true;
        seen.status = status;
        seen.inputs.version = version();
        m_hooks.observed(seen);
    }
    handler({ why, {}, status, message });
}

// Where many nodes send a few calls each, what one of them knows of a target's load is
// seconds old, and calls wait at some targets while others have free slots. So the first
// targets are asked to refuse rather than to let the call wait. Of 195 nodes' calls to 42
// servers at 0.7 of what these end, 0.98 or more are answered so and less than 0.02 wait for
// 10 ms; 0.89 and 0.20 where targets let them wait (the test FreeSlots). A target whose load
// was told a moment ago was chosen for it, and is not asked: among few nodes it would add calls
// at the nodes that have most to do.
std::optional<member> routed_entry::chooseTarget(entry_call& call, poison_status standing, time_point now)
{
    if (standing == poison_status::NearlyPoison) {
        return chooseAgreed(call);
    }
    auto passedOver = call.tried;
    passedOver.insert(passedOver.end(), call.full.begin(), call.full.end());
    bool hasRoom = m_room.isFreeSlotLikely(call.request.service, now);
    auto chosen = m_router.choose({ call.request.service, std::move(passedOver), hasRoom }, now);
    bool asksOthers = chosen && call.full.size() < mostFull && !m_router.reliesOnRecentLoad(chosen->id, now) && hasRoom;
    if (!chosen && !call.full.empty()) {
        chosen = m_router.choose({ call.request.service, call.tried, hasRoom }, now);
    }
    call.request.refuseIfFull = asksOthers;
    return chosen;
}

// News of an end may be late or lost, with the node beside the server. So what is one end short
// of poison goes to one server of its service, the same from every entry, and one at a time
// there: copies that come before the news end one server more, and not all of them.
std::optional<member> routed_entry::chooseAgreed(entry_call& call)
{
    call.request.refuseIfFull = false;
    auto agreed = m_router.agreed(call.request.service, call.request.context.content.value);
    bool isTried = agreed && std::count(call.tried.begin(), call.tried.end(), agreed->id) != 0;
    return isTried ? std::nullopt : agreed;
}

poison_status routed_entry::standingOf(const entry_call& call) const
{
    return m_hooks.standingOf ? m_hooks.standingOf(call.request.context.content) : poison_status::Harmless;
}

// To come back before it is forgotten is in vain.
void routed_entry::refusePoison(std::uint64_t callId, time_point now)
{
    giveUp(callId, verdict::notRun(verdict_reason::Poison, poisonRetention), "servers have ended under requests like this one", now);
}

void routed_entry::attempt(std::uint64_t callId, time_point now)
{
    auto& call = m_calls.at(callId);
    if (call.request.context.deadline <= now) {
        giveUp(callId, verdict::notRun(verdict_reason::DeadlinePassed), "the time of the request is over", now);
        return;
    }
    auto standing = standingOf(call);
    if (standing == poison_status::Poison) {
        refusePoison(callId, now);
        return;
    }
    auto chosen = chooseTarget(call, standing, now);
    if (!chosen) {
        auto refusal = call.refusal.reason == verdict_reason::Answered ? verdict::notRun(verdict_reason::NoBackendServer, comeBackAfter()) : call.refusal;
        giveUp(callId, refusal, "no further server of the service is known", now);
        return;
    }
    bool isFirst = call.request.attempt == 0;
    ++call.request.attempt;
    call.attemptId = m_hooks.random() | 1U;
    call.attemptStarted = now;
    call.target = chosen->id;
    call.targetName = chosen->name;
    call.targetInOtherZone = chosen->availabilityZone != m_settings.place.availabilityZone;
    m_callOfAttempt[call.attemptId] = callId;
    m_router.started(chosen->id, now);
    observe(call, isFirst ? call_decision::Attempt : call_decision::Retry, call.refusal, chosen->name, 0, now);
    m_hooks.send(call.attemptId, *chosen, call.request);
}

void routed_entry::attemptAnswered(std::uint64_t attemptId, call_answer answer, time_point now)
{
    auto node = m_callOfAttempt.extract(attemptId);
    if (!node) {
        return;
    }
    auto callId = node.mapped();
    auto& call = m_calls.at(callId);
    call.attemptId = 0;
    auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - call.attemptStarted);
    route_outcome seen { answer.outcome, latency, answer.cut, answer.inFlight, answer.limit, answer.zoneCrossings };
    if (answer.meanServiceTime.count() > 0) {
        seen.pace = m_paces.learn(call.request.context.requestClass, answer.meanServiceTime);
    }
    m_router.finished(call.target, seen, now);
    // A node that answers tells its limit, also where its server lost the answer.
    bool nothingCameBack = answer.limit == 0 && (answer.outcome.reason == verdict_reason::PeerUnreachable || answer.outcome.reason == verdict_reason::AnswerLost);
    m_hooks.ended(call.target, !nothingCameBack);
    if (answer.limit != 0) {
        bool hasNoRoom = answer.inFlight >= answer.limit || answer.outcome.reason == verdict_reason::NoFreeSlot;
        m_room.answered(call.request.service, hasNoRoom, now);
    }
    if (answer.outcome.reason == verdict_reason::NoFreeSlot) {
        call.full.push_back(call.target);
        observe(call, call_decision::AttemptFailed, answer.outcome, call.targetName, 0, now);
        attempt(callId, now);
        return;
    }
    call.tried.push_back(call.target);
    learn(call, answer, now);
    if (reachedServer(answer.outcome)) {
        noteReached(call, now);
    }
    call.mayHaveRun = call.mayHaveRun || answer.outcome.run != execution::NotRun;
    if (answer.outcome.run != execution::Ran) {
        call.refusal = answer.outcome;
        observe(call, call_decision::AttemptFailed, answer.outcome, call.targetName, 0, now);
    }
    if (mayTryAgain(call, answer, latency, now)) {
        if (answer.outcome.run == execution::Ran) {
            call.failure = std::move(answer);
        }
        attempt(callId, now);
        return;
    }
    auto outcome = answer.outcome;
    finish(callId, outcome, std::move(answer), "the request was given up", now);
}

// What came back from below is for the entrance to act on: here, or, for a call
// that the own server makes, wherever the whole request came in.
void routed_entry::learn(const entry_call& call, const call_answer& answer, time_point now)
{
    if (answer.limit == 0) {
        return;
    }
    if (call.parentRun != 0) {
        auto crossings = answer.zoneCrossings + (call.targetInOtherZone ? 1U : 0U);
        m_hooks.onwardEnded(call.parentRun, { call.request.service, answer.cut, answer.cost, crossings });
        return;
    }
    const auto& context = call.request.context;
    if (answer.outcome.run == execution::Ran && answer.status < leastServerError) {
        // What failed on the way has not met all of its costs.
        m_costs.served(context.requestClass, answer.cost);
    }
    m_entrance.recordCut({ "", context.requestClass, context.position, context.deadline }, { answer.cut, answer.outcome.retryAfter }, now);
}

// Only requests that come as far as a server count for the allowance: a repeat makes
// its calls again at services that never see the requests that are refused here.
void routed_entry::noteReached(entry_call& call, time_point now)
{
    if (call.reached == 0) {
        m_allowance.requested(call.request.service, now);
    }
    ++call.reached;
}

bool routed_entry::mayTryAgain(entry_call& call, const call_answer& answer, std::chrono::microseconds latency, time_point now)
{
    bool served = answer.outcome.run == execution::Ran && answer.status < leastServerError;
    if (answer.outcome.reason == verdict_reason::Poison) {
        // No other target would take it.
        return false;
    }
    if (served || call.request.context.deadline < now + leastTimeToRetry) {
        return false;
    }
    if (call.mayHaveRun && !call.request.context.idempotent) {
        return false;
    }
    if (answer.outcome.run == execution::Ran && call.request.context.deadline < now + latency) {
        // Another server would need as long, and the answer of this one is at hand.
        return false;
    }
    if (!reachedServer(answer.outcome)) {
        return call.tried.size() < mostRefusals + call.reached;
    }
    return call.reached < call.maxAttempts && m_allowance.take(call.request.service, now);
}

// Ends a request for which no server's answer is at hand.
void routed_entry::giveUp(std::uint64_t callId, const verdict& why, const std::string& message, time_point now)
{
    finish(callId, why, {}, message, now);
}

void routed_entry::finish(std::uint64_t callId, const verdict& why, call_answer answer, const std::string& message, time_point now)
{
    auto node = m_calls.extract(callId);
    auto& call = node.mapped();
    endQuota(call, now);
    if (why.run != execution::Ran && call.failure) {
        answer = std::move(*call.failure);
    }
    entry_answer result;
    result.outcome = answer.outcome.run == execution::Ran ? answer.outcome : why;
    if (result.outcome.run == execution::Ran) {
        observe(call, call_decision::Finished, result.outcome, "", answer.status, now);
        result.answer = std::move(answer);
        call.handler(std::move(result));
        return;
    }
    if (call.mayHaveRun) {
        result.outcome.run = execution::MayHaveRun;
    }
    if (result.outcome.run == execution::NotRun && result.outcome.retryAfter.count() == 0) {
        result.outcome.retryAfter = comeBackAfter();
    }
    result.refusalStatus = statusOfRefusal(result.outcome);
    result.message = message;
    observe(call, call_decision::Finished, result.outcome, message, result.refusalStatus, now);
    call.handler(std::move(result));
}

// What reached no server does not count against the limit.
void routed_entry::endQuota(entry_call& call, time_point now)
{
    if (call.quotaWait != 0) {
        m_hooks.cancelQuota(std::exchange(call.quotaWait, 0));
    }
    if (call.reached == 0 && !call.mayHaveRun && std::exchange(call.hasQuota, false)) {
        m_hooks.giveBackQuota(call.request.context.organisation, now);
    }
}

void routed_entry::abandonAttempt(entry_call& call, time_point now)
{
    if (call.attemptId == 0) {
        return;
    }
    m_hooks.cancelAttempt(call.attemptId);
    m_callOfAttempt.erase(call.attemptId);
    m_router.cancelled(call.target, now);
    call.mayHaveRun = true;
    call.attemptId = 0;
}

void routed_entry::cancel(std::uint64_t callId, time_point now)
{
    auto node = m_calls.extract(callId);
    if (!node) {
        return;
    }
    auto& call = node.mapped();
    abandonAttempt(call, now);
    endQuota(call, now);
    observe(call, call_decision::Finished, verdict::mayHaveRun(verdict_reason::CallerGone), "the sender left", 0, now);
}

void routed_entry::tick(time_point now)
{
    auto deadlinePassed = [now](const entry_call& call) { return call.request.context.deadline <= now; };
    endCalls(deadlinePassed, verdict::notRun(verdict_reason::DeadlinePassed), "the time of the request is over", now);
}

void routed_entry::endAll(time_point now)
{
    m_intake = call_intake::None;
    auto everyCall = [](const entry_call&) { return true; };
    endCalls(everyCall, verdict::notRun(verdict_reason::Draining), "the node stops", now);
}

void routed_entry::endCalls(const std::function<bool(const entry_call&)>& shouldEnd, const verdict& why, const std::string& message, time_point now)
{
    std::vector<std::uint64_t> callIds;
    for (const auto& [callId, call] : m_calls) {
        if (shouldEnd(call)) {
            callIds.push_back(callId);
        }
    }
    for (auto callId : callIds) {
        auto found = m_calls.find(callId);
        if (found == m_calls.end()) {
            // At the own server's gate the end of the call before may have refused this one.
            continue;
        }
        abandonAttempt(found->second, now);
        giveUp(callId, why, message, now);
    }
}

void routed_entry::observe(const entry_call& call, call_decision decision, const verdict& outcome, const std::string& detail, std::uint32_t status, time_point now) const
{
    if (!m_hooks.observed) {
        return;
    }
    call_observation seen { decision, call.request.context, now };
    seen.outcome = outcome;
    seen.detail = detail;
    seen.whole = call.parentRun == 0;
    seen.status = status;
    seen.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - call.arrived);
    seen.inputs = { version(), call.entranceCut.cut, call.entranceCut.age };
    m_hooks.observed(seen);
}

}
