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
    constexpr unsigned minServerErrorStatus = 500;

    // Attempts of one request that may be refused before they reach a backend server.
    constexpr std::size_t maxRefusedAttempts = 3;

    // Targets that are asked to refuse a call if they have no free slot, before the call may
    // wait at a target. Each costs a round trip of a few milliseconds at most, while waiting
    // takes tens to hundreds. At 0.85 of the capacity, 0.97 of the calls are answered with three
    // probes and 2.0 attempts each, and 0.81 without probes (see Tests/FreeSlots).
    constexpr std::size_t maxFreeSlotProbes = 3;

    // Attempts of one request whose answers are given up because of their size: the fault may be that of one
    // server.
    constexpr std::uint32_t maxAnswersGivenUp = 1;

    // Retry advice if no server or no configuration is known. Usually one is known after this
    // time. The jitter prevents refused clients from returning all at once.
    constexpr std::chrono::milliseconds minRetryAfter { 150 };
    constexpr std::uint64_t retryAfterJitterMilliseconds = 300;

    // With less time left a retry is unlikely to succeed and would only add load.
    constexpr std::chrono::milliseconds minTimeToRetry { 20 };

    // A request waits for its organisation's quota no longer than the route's target latency
    // divided by this number, and no longer than the maximum.
    constexpr int quotaWaitDivisor = 8;
    constexpr std::chrono::milliseconds maxQuotaWait { 200 };

    constexpr std::uint64_t randomFractionSteps = 1U << 20U;

    importance importanceOf(std::uint32_t priority)
    {
        if (priority == 0) {
            return importance::Confirmed;
        }
        return priority == 1 ? importance::Interactive : importance::Deferrable;
    }

    // Whether the request reached a backend server or may have reached one.
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
    , m_rotation([random = m_hooks.random] { return static_cast<double>(random() % randomFractionSteps) / randomFractionSteps; })
    , m_router(m_settings.location, [random = m_hooks.random](std::uint64_t bound) { return random() % bound; })
    , m_retryAllowance(m_settings.retries, started)
    , m_entranceGate({ admission_policy::Full, [random = m_hooks.random](std::uint64_t bound) { return random() % bound; } })
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
    m_retryAllowance.setNodes(members->size());
    m_router.setMembers(members, now);
}

bool routed_entry::knowsService(const std::string& name) const
{
    const auto& services = m_table.configuration().services;
    return std::any_of(services.begin(), services.end(), [&name](const route_service& candidate) { return candidate.name == name; });
}

std::string routed_entry::healthPath(const std::string& service) const
{
    const auto& services = m_table.configuration().services;
    auto found = std::find_if(services.begin(), services.end(), [&service](const route_service& candidate) { return candidate.name == service; });
    return found == services.end() ? "" : found->healthPath;
}

std::chrono::milliseconds routed_entry::jitteredRetryAfter() const
{
    return minRetryAfter + std::chrono::milliseconds(m_hooks.random() % retryAfterJitterMilliseconds);
}

std::uint64_t routed_entry::arrive(entry_request request, entry_handler handler, time_point now)
{
    if (version() == 0) {
        refuseOnArrival(request, handler, statusUnavailable, verdict::notRun(verdict_reason::UnknownService, jitteredRetryAfter()), "no configuration is known yet", now);
        return 0;
    }
    const auto* matchedRoute = m_table.find(fieldValue(request.message.fields, "Host"), request.message.target);
    if (!matchedRoute) {
        refuseOnArrival(request, handler, statusNotFound, verdict::notRun(verdict_reason::UnknownService), "no route matches the host and path", now);
        return 0;
    }
    auto origin = originOf(request, *matchedRoute);
    if (origin.refusal) {
        refuseOnArrival(request, handler, statusOfRefusal(*origin.refusal), *origin.refusal, "the request does not say which organisation asks", now);
        return 0;
    }
    if (!accepts(m_intake, origin.parent.has_value())) {
        refuseOnArrival(request, handler, statusUnavailable, verdict::notRun(verdict_reason::Draining, jitteredRetryAfter()), "the node is stopping", now);
        return 0;
    }
    auto callId = m_hooks.random() | 1U;
    entry_call call;
    call.arrived = now;
    call.handler = std::move(handler);
    call.maxAttempts = std::max(1U, matchedRoute->maxAttempts);
    auto& callRequest = call.request;
    callRequest.attempt = 0;
    callRequest.callId = callId;
    callRequest.service = m_rotation.next(*matchedRoute);
    callRequest.callerService = m_settings.ownService;
    callRequest.method = std::move(request.message.method);
    callRequest.path = std::move(request.message.target);
    callRequest.fields = std::move(request.message.fields);
    callRequest.body = std::move(request.message.body);
    auto& context = callRequest.context;
    context.requestId = std::move(request.requestId);
    context.content = fingerprintOf(callRequest.path, callRequest.body.text());
    context.requestClass = matchedRoute->name;
    context.organisation = origin.sender ? origin.sender->name : "";
    context.level = importanceOf(matchedRoute->priority);
    context.position = sheddingPosition(context.level, context.requestId);
    context.idempotent = matchedRoute->idempotent;
    context.deadline = std::min(request.deadline, now + matchedRoute->timeout);
    if (standingOf(call) == poison_status::Poison) {
        m_calls.emplace(callId, std::move(call));
        refusePoison(callId, now);
        return callId;
    }
    const auto& parent = origin.parent;
    if (parent) {
        // An onward call is part of its parent request and has the same importance.
        const auto& parentContext = parent->context;
        call.parentRun = parent->runId;
        context.organisation = parentContext.organisation;
        context.level = parentContext.level;
        context.position = parentContext.position;
        context.depth = parentContext.depth + 1;
    } else {
        m_costOrder.arrived(context.requestClass, context.level, now);
        context.position = rankedPosition(m_costOrder.adjustedPosition(context.requestClass, context.position), m_organisations.rankOf(origin.sender));
        context.level = static_cast<importance>(context.position / positionsPerImportance);
    }
    std::optional<verdict> refusal;
    if (!parent) {
        auto judgement = m_entranceGate.evaluate({ "", context.requestClass, context.position, context.deadline }, now);
        call.entranceCut = judgement.cut;
        refusal = judgement.refusal;
    }
    m_calls.emplace(callId, std::move(call));
    if (refusal) {
        giveUp(callId, *refusal, "refused because a downstream service is overloaded", now);
        return callId;
    }
    if (origin.sender && origin.sender->quota.isLimited() && m_hooks.takeQuota) {
        takeQuota(callId, matchedRoute->targetLatency, now);
    } else {
        startAttempt(callId, now);
    }
    return callId;
}

// If the quota allows the organisation's next request soon, the request waits instead of being
// refused: arrivals are uneven even below the limit, so that waiting answers more requests.
void routed_entry::takeQuota(std::uint64_t callId, std::chrono::milliseconds targetLatency, time_point now)
{
    const auto& context = m_calls.at(callId).request.context;
    auto waitUntil = std::min(now + std::min(targetLatency / quotaWaitDivisor, maxQuotaWait), context.deadline);
    auto waitUntilStarted = std::min(now + targetLatency / 2, context.deadline);
    quota_request request { context.organisation, context.position, waitUntil, waitUntilStarted };
    auto wait = m_hooks.takeQuota(
        request, [this, callId](quota_refusal refusal, time_point decided) { quotaDecided(callId, refusal, decided); }, now);
    auto found = m_calls.find(callId);
    if (found != m_calls.end()) {
        found->second.quotaWaitId = wait;
    }
}

void routed_entry::quotaDecided(std::uint64_t callId, quota_refusal refusal, time_point now)
{
    auto found = m_calls.find(callId);
    if (found == m_calls.end()) {
        return;
    }
    found->second.quotaWaitId = 0;
    if (refusal) {
        giveUp(callId, verdict::notRun(verdict_reason::OverQuota, *refusal), "the organisation is over its quota", now);
        return;
    }
    found->second.hasQuota = true;
    startAttempt(callId, now);
}

// A key marks a client request and identifies its organisation. Onward calls of the local
// backend server carry no key: they are recognised by the id of their parent request and belong
// to its organisation. The deadline alone is not enough, because a client without a key could
// send a request with the same deadline.
routed_entry::request_origin routed_entry::originOf(const entry_request& request, const route& matchedRoute) const
{
    request_origin result;
    if (!m_organisations.requiresKeys()) {
        result.parent = m_hooks.findParent(request);
        return result;
    }
    if (request.key) {
        result.sender = m_organisations.findByKey(*request.key);
    } else if (!request.parentId.empty()) {
        result.parent = m_hooks.findParent(request);
    }
    if (result.parent || result.sender || matchedRoute.isPublic) {
        return result;
    }
    bool hasUnknownParent = !request.key && !request.parentId.empty();
    result.refusal = hasUnknownParent ? verdict::notRun(verdict_reason::UnknownParent, jitteredRetryAfter()) : verdict::notRun(verdict_reason::UnknownKey);
    return result;
}

void routed_entry::refuseOnArrival(const entry_request& request, const entry_handler& handler, unsigned status, const verdict& finalOutcome, const std::string& message, time_point now) const
{
    if (m_hooks.observed) {
        request_context context;
        context.requestId = request.requestId;
        call_observation observation { call_decision::Finished, context, now };
        observation.outcome = finalOutcome;
        observation.detail = message;
        observation.isEntryRequest = true;
        observation.status = status;
        observation.inputs.version = version();
        m_hooks.observed(observation);
    }
    handler({ finalOutcome, {}, status, message });
}

// If many nodes send a few calls each, the load that one of them knows of a target is seconds
// old, and calls would wait at some targets while others have free slots. The first targets are
// therefore asked to refuse a call that would have to wait. With 195 nodes, 42 servers and 0.7
// of the capacity, at least 0.98 of the calls are answered and less than 0.02 wait for more than
// 10 ms; if targets let calls wait, it is 0.89 and 0.20 (see Tests/FreeSlots). A target that
// reported its load a moment ago was chosen by that load and is not asked to refuse: among few
// nodes, this would add calls at the busiest ones.
std::optional<member> routed_entry::chooseTarget(entry_call& call, poison_status standing, time_point now)
{
    if (standing == poison_status::NearlyPoison) {
        return chooseAgreedTarget(call);
    }
    auto excluded = call.triedTargets;
    excluded.insert(excluded.end(), call.fullTargets.begin(), call.fullTargets.end());
    bool freeSlotLikely = m_freeSlotEstimates.isFreeSlotLikely(call.request.service, now);
    auto chosen = m_router.choose({ call.request.service, std::move(excluded), freeSlotLikely }, now);
    bool probesForFreeSlot = chosen && call.fullTargets.size() < maxFreeSlotProbes && !m_router.reliesOnRecentLoad(chosen->id, now) && freeSlotLikely;
    if (!chosen && !call.fullTargets.empty()) {
        chosen = m_router.choose({ call.request.service, call.triedTargets, freeSlotLikely }, now);
    }
    call.request.refuseIfFull = probesForFreeSlot;
    return chosen;
}

// The news that a server terminated may be late, or lost together with that server's node. A
// content that is one termination short of poison therefore goes to a single server of its
// service, the same one from every node, which runs one such call at a time. Copies that arrive
// before the news terminate that one server and not all of them.
std::optional<member> routed_entry::chooseAgreedTarget(entry_call& call)
{
    call.request.refuseIfFull = false;
    auto agreed = m_router.chooseByKey(call.request.service, call.request.context.content.value);
    bool alreadyTried = agreed && std::count(call.triedTargets.begin(), call.triedTargets.end(), agreed->id) != 0;
    return alreadyTried ? std::nullopt : agreed;
}

poison_status routed_entry::standingOf(const entry_call& call) const
{
    return m_hooks.standingOf ? m_hooks.standingOf(call.request.context.content) : poison_status::Harmless;
}

// The retry advice is the time for which poison is remembered: an earlier retry is refused, too.
void routed_entry::refusePoison(std::uint64_t callId, time_point now)
{
    giveUp(callId, verdict::notRun(verdict_reason::Poison, poisonRetention), "backend servers have terminated while running requests with this content", now);
}

void routed_entry::startAttempt(std::uint64_t callId, time_point now)
{
    auto& call = m_calls.at(callId);
    if (call.request.context.deadline <= now) {
        giveUp(callId, verdict::notRun(verdict_reason::DeadlinePassed), "the deadline of the request has passed", now);
        return;
    }
    auto standing = standingOf(call);
    if (standing == poison_status::Poison) {
        refusePoison(callId, now);
        return;
    }
    auto chosen = chooseTarget(call, standing, now);
    if (!chosen) {
        auto refusal = call.lastRefusal.reason == verdict_reason::Answered ? verdict::notRun(verdict_reason::NoBackendServer, jitteredRetryAfter()) : call.lastRefusal;
        giveUp(callId, refusal, "no other server of the service is known", now);
        return;
    }
    bool isFirst = call.request.attempt == 0;
    ++call.request.attempt;
    call.attemptId = m_hooks.random() | 1U;
    call.attemptStarted = now;
    call.targetId = chosen->id;
    call.targetName = chosen->name;
    call.targetInOtherZone = chosen->availabilityZone != m_settings.location.availabilityZone;
    call.request.notice = m_notices.find(chosen->name, now);
    m_callOfAttempt[call.attemptId] = callId;
    m_router.started(chosen->id, now);
    observe(call, isFirst ? call_decision::Attempt : call_decision::Retry, call.lastRefusal, chosen->name, 0, now);
    m_hooks.send(call.attemptId, *chosen, call.request);
}

void routed_entry::attemptAnswered(std::uint64_t attemptId, call_answer answer, time_point now)
{
    auto extracted = m_callOfAttempt.extract(attemptId);
    if (!extracted) {
        return;
    }
    auto callId = extracted.mapped();
    auto& call = m_calls.at(callId);
    call.attemptId = 0;
    auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - call.attemptStarted);
    route_outcome routeOutcome { answer.outcome, latency, answer.cut, answer.inFlight, answer.limit, answer.zoneCrossings };
    if (answer.notice) {
        m_notices.learn(call.targetName, *answer.notice, now);
        routeOutcome.isRateLimited = answer.notice->notice.rateLimit.has_value();
    }
    if (answer.meanServiceTime.count() > 0) {
        routeOutcome.pace = m_paces.learn(call.request.context.requestClass, answer.meanServiceTime);
    }
    m_router.finished(call.targetId, routeOutcome, now);
    // A node that responds reports its limit even if its backend server's answer was lost.
    bool noResponse = answer.limit == 0 && (answer.outcome.reason == verdict_reason::PeerUnreachable || answer.outcome.reason == verdict_reason::AnswerLost);
    m_hooks.attemptEnded(call.targetId, !noResponse);
    if (answer.limit != 0) {
        bool isFull = answer.inFlight >= answer.limit || answer.outcome.reason == verdict_reason::NoFreeSlot;
        m_freeSlotEstimates.recordAnswer(call.request.service, isFull, now);
    }
    if (answer.outcome.reason == verdict_reason::NoFreeSlot) {
        call.fullTargets.push_back(call.targetId);
        observe(call, call_decision::AttemptFailed, answer.outcome, call.targetName, 0, now);
        startAttempt(callId, now);
        return;
    }
    call.triedTargets.push_back(call.targetId);
    learnFromAnswer(call, answer, now);
    if (reachedServer(answer.outcome)) {
        recordServerReached(call, now);
    }
    call.mayHaveRun = call.mayHaveRun || answer.outcome.run != execution::NotRun;
    if (answer.outcome.run != execution::Ran) {
        call.lastRefusal = answer.outcome;
        observe(call, call_decision::AttemptFailed, answer.outcome, call.targetName, 0, now);
    }
    if (shouldRetry(call, answer, latency, now)) {
        if (answer.outcome.run == execution::Ran) {
            call.serverFailure = std::move(answer);
        }
        startAttempt(callId, now);
        return;
    }
    auto outcome = answer.outcome;
    finish(callId, outcome, std::move(answer), "no attempt succeeded", now);
}

// The node where a client request entered has to act on the cut and the cost. For a client
// request this is this node's entrance gate. For an onward call they are added to the parent run,
// whose answer carries them back.
void routed_entry::learnFromAnswer(const entry_call& call, const call_answer& answer, time_point now)
{
    if (answer.limit == 0) {
        return;
    }
    if (call.parentRun != 0) {
        auto crossings = answer.zoneCrossings + (call.targetInOtherZone ? 1U : 0U);
        m_hooks.onwardCallEnded(call.parentRun, { call.request.service, answer.cut, answer.cost, crossings });
        return;
    }
    const auto& context = call.request.context;
    if (answer.outcome.run == execution::Ran && answer.status < minServerErrorStatus) {
        // A request that failed has not incurred all of its costs.
        m_costOrder.served(context.requestClass, answer.cost);
    }
    m_entranceGate.recordCut({ "", context.requestClass, context.position, context.deadline }, { answer.cut, answer.outcome.retryAfter }, now);
}

// Only requests that reach a backend server add to the retry allowance: a retry repeats onward
// calls to services that never see the requests refused here.
void routed_entry::recordServerReached(entry_call& call, time_point now)
{
    if (call.serversReached == 0) {
        m_retryAllowance.requested(call.request.service, now);
    }
    ++call.serversReached;
}

bool routed_entry::shouldRetry(entry_call& call, const call_answer& answer, std::chrono::microseconds latency, time_point now)
{
    bool served = answer.outcome.run == execution::Ran && answer.status < minServerErrorStatus;
    bool givenUp = answer.outcome.reason == verdict_reason::AnswerTooLarge || answer.outcome.reason == verdict_reason::NoMemory;
    if (givenUp && answer.outcome.run != execution::NotRun) {
        ++call.answersGivenUp;
        // The other servers' answers are probably as large; and without room here any answer is too large.
        if (call.answersGivenUp > maxAnswersGivenUp || answer.limit == 0) {
            return false;
        }
    }
    if (answer.outcome.reason == verdict_reason::Poison) {
        // Every other target would refuse it, too.
        return false;
    }
    if (served || call.request.context.deadline < now + minTimeToRetry) {
        return false;
    }
    if (call.mayHaveRun && !call.request.context.idempotent) {
        return false;
    }
    if (answer.outcome.run == execution::Ran && call.request.context.deadline < now + latency) {
        // Another server would take as long and miss the deadline.
        return false;
    }
    if (!reachedServer(answer.outcome)) {
        return call.triedTargets.size() < maxRefusedAttempts + call.serversReached;
    }
    return call.serversReached < call.maxAttempts && m_retryAllowance.take(call.request.service, now);
}

// Ends a request without a further attempt.
void routed_entry::giveUp(std::uint64_t callId, const verdict& finalOutcome, const std::string& message, time_point now)
{
    finish(callId, finalOutcome, {}, message, now);
}

void routed_entry::finish(std::uint64_t callId, const verdict& finalOutcome, call_answer answer, const std::string& message, time_point now)
{
    auto extracted = m_calls.extract(callId);
    auto& call = extracted.mapped();
    releaseQuota(call, now);
    if (finalOutcome.run != execution::Ran && call.serverFailure) {
        answer = std::move(*call.serverFailure);
    }
    entry_answer result;
    result.outcome = answer.outcome.run == execution::Ran ? answer.outcome : finalOutcome;
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
        result.outcome.retryAfter = jitteredRetryAfter();
    }
    result.refusalStatus = statusOfRefusal(result.outcome);
    result.message = message;
    observe(call, call_decision::Finished, result.outcome, message, result.refusalStatus, now);
    call.handler(std::move(result));
}

// A request that reached no backend server does not count against the quota.
void routed_entry::releaseQuota(entry_call& call, time_point now)
{
    if (call.quotaWaitId != 0) {
        m_hooks.cancelQuota(std::exchange(call.quotaWaitId, 0));
    }
    if (call.serversReached == 0 && !call.mayHaveRun && std::exchange(call.hasQuota, false)) {
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
    m_router.cancelled(call.targetId, now);
    call.mayHaveRun = true;
    call.attemptId = 0;
}

void routed_entry::cancel(std::uint64_t callId, time_point now)
{
    auto extracted = m_calls.extract(callId);
    if (!extracted) {
        return;
    }
    auto& call = extracted.mapped();
    abandonAttempt(call, now);
    releaseQuota(call, now);
    observe(call, call_decision::Finished, verdict::mayHaveRun(verdict_reason::CallerGone), "the sender left before the answer", 0, now);
}

void routed_entry::tick(time_point now)
{
    auto deadlinePassed = [now](const entry_call& call) { return call.request.context.deadline <= now; };
    endCalls(deadlinePassed, verdict::notRun(verdict_reason::DeadlinePassed), "the deadline of the request has passed", now);
}

void routed_entry::endAll(time_point now)
{
    m_intake = call_intake::None;
    auto everyCall = [](const entry_call&) { return true; };
    endCalls(everyCall, verdict::notRun(verdict_reason::Draining), "the node is stopping", now);
}

void routed_entry::endCalls(const std::function<bool(const entry_call&)>& shouldEnd, const verdict& finalOutcome, const std::string& message, time_point now)
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
            // Ending a call may release this one at the local gate, which refuses it.
            continue;
        }
        abandonAttempt(found->second, now);
        giveUp(callId, finalOutcome, message, now);
    }
}

void routed_entry::observe(const entry_call& call, call_decision decision, const verdict& outcome, const std::string& detail, std::uint32_t status, time_point now) const
{
    if (!m_hooks.observed) {
        return;
    }
    call_observation observation { decision, call.request.context, now };
    observation.outcome = outcome;
    observation.detail = detail;
    observation.isEntryRequest = call.parentRun == 0;
    observation.status = status;
    observation.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - call.arrived);
    observation.inputs = { version(), call.entranceCut.cut, call.entranceCut.age };
    m_hooks.observed(observation);
}

}
