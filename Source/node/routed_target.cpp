#include "node/routed_target.h"

#include "admission/usable_slots.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr unsigned minServerErrorStatus = 500;

    // By then the call of the same content, or the server that runs it, has usually ended.
    constexpr std::chrono::milliseconds suspectRetryAfter { 500 };

    admission_settings gateSettings(const std::function<std::uint64_t()>& random)
    {
        admission_settings settings;
        settings.randomBelow = [random](std::uint64_t bound) { return random() % bound; };
        return settings;
    }

}

routed_target::routed_target(target_hooks hooks, bool balanceByPace)
    : m_hooks(std::move(hooks))
    , m_balanceByPace(balanceByPace)
    , m_gate(gateSettings(m_hooks.random))
    , m_observer(m_hooks.random())
{
}

void routed_target::setServer(const std::optional<server_report>& server, bool takesWork, time_point now)
{
    bool replaced = m_server && server && m_server->start != server->start;
    if (replaced) {
        // What was measured for the previous start does not apply to this one.
        m_gate.setSlots(0, now);
        m_pace.reset();
    }
    bool restarted = replaced && isLaterStart(server->start, m_server->start);
    m_server = server;
    m_takesWork = takesWork;
    if (server && server->warmupLeft.count() > 0) {
        m_warmupEnd = now + server->warmupLeft;
    }
    bool accepts = acceptsWork();
    m_gate.setSlots(accepts ? usableSlots(server->slots) : 0, accepts ? server->warmupLeft : std::chrono::milliseconds(0), now);
    m_gate.setRateLimit(notice().rateLimit, now);
    if (restarted) {
        m_hooks.serverRestarted();
        // Not before the gate has slots again: waiting calls run at the new start.
        endRuns(now);
    }
    if (server) {
        reportServerEnd(m_lostRuns.serverIdentified(server->start, now));
    }
    startReleased(now);
}

// Answers the runs of the previous start as lost. This holds only for a later start of the
// same instance: a report of another instance may itself be the outdated one.
void routed_target::endRuns(time_point now)
{
    std::vector<std::uint64_t> ended;
    for (const auto& [id, call] : m_arrivals) {
        if (call.running) {
            ended.push_back(id);
        }
    }
    for (auto id : ended) {
        m_hooks.cancelRun(id);
        serverAnswered(id, makeCallAnswer(0, 0, verdict::mayHaveRun(verdict_reason::AnswerLost)), now);
    }
}

void routed_target::setStopping(time_point now)
{
    m_stopping = true;
    m_gate.setSlots(0, now);
    startReleased(now);
}

std::optional<verdict> routed_target::refusalBeforeGate(const call_request& request) const
{
    if (m_stopping) {
        return verdict::notRun(verdict_reason::Draining);
    }
    if (!m_server || m_server->service != request.service) {
        return verdict::notRun(verdict_reason::NoBackendServer);
    }
    if (!acceptsWork()) {
        return verdict::notRun(verdict_reason::Draining);
    }
    return refusalOfContent(request);
}

// Calls of a content that may terminate servers run one at a time, so that if one terminates this
// server, no other call of the content was running here.
std::optional<verdict> routed_target::refusalOfContent(const call_request& request) const
{
    auto standing = standingOf(request);
    if (standing == poison_status::Poison) {
        return verdict::notRun(verdict_reason::Poison, poisonRetention);
    }
    if (standing != poison_status::Harmless && isInProgress(request.context.content)) {
        return verdict::notRun(verdict_reason::Poison, suspectRetryAfter);
    }
    return std::nullopt;
}

bool routed_target::isInProgress(request_fingerprint content) const
{
    return std::any_of(m_arrivals.begin(), m_arrivals.end(), [content](const auto& call) { return call.second.request.context.content == content; });
}

std::uint64_t routed_target::arrive(call_request request, call_replier replier, time_point now)
{
    auto id = m_hooks.random();
    if (request.notice) {
        relayedNoticeReceived(*request.notice, now);
    }
    request.context.content = fingerprintOf(request.path, request.body.text());
    auto refusal = refusalBeforeGate(request);
    if (!refusal && request.refuseIfFull && isBetterElsewhere(now)) {
        refusal = m_gate.refuseWithoutFreeSlot();
    }
    // The gate gets no organisation and so applies no shares. Positions are drawn per request,
    // so each organisation is shed in proportion to its requests, and requests beyond a quota
    // never get here. With shares, a gate that sees only a few calls of each organisation would
    // refuse those of the large ones.
    admission_request admissionRequest { id, request.context.position, "", request.context.deadline, request.context.requestClass, request.context.depth > 0 };
    m_arrivals.emplace(id, arrival { std::move(request), std::move(replier) });
    if (refusal) {
        refuse(id, *refusal, now);
        return id;
    }
    auto decision = m_gate.arrive(admissionRequest, now);
    if (decision.outcome == admission_outcome::Refuse) {
        refuse(id, decision.refusal, now);
    } else if (decision.outcome == admission_outcome::Run) {
        start(id, now);
    }
    // The call may have evicted a waiting one, which has to be answered.
    startReleased(now);
    return id;
}

// Whether a call whose sender can try other targets should run at one of them: no slot is free
// here, or the server's machine is slow at the moment, which only this node knows in time.
bool routed_target::isBetterElsewhere(time_point now)
{
    return !m_gate.hasFreeSlot(now) || m_pace.isSlow(now);
}

void routed_target::serverReportedLoad(const server_start& start, const server_load& load, time_point now)
{
    if (!m_balanceByPace || !m_server || m_server->start != start) {
        return;
    }
    m_pace.updateLoad(load, m_server->slots, m_gate.inFlight(), now);
}

void routed_target::noticeReceived(const server_start& start, const received_notice& answer, time_point now)
{
    if (m_notices.answered(start, answer)) {
        noticeChanged(start, now);
    }
}

// The sender may know more than this node if this node has been restarted since.
void routed_target::relayedNoticeReceived(const relayed_notice& told, time_point now)
{
    bool changed = m_notices.relayed(told, now);
    if (m_server && told.start != hashOf(m_server->start)) {
        m_notices.relayFrom(m_server->start);
    } else if (changed && m_server) {
        noticeChanged(m_server->start, now);
    }
}

void routed_target::noticeChanged(const server_start& start, time_point now)
{
    if (m_server && m_server->start == start) {
        if (!acceptsWork()) {
            m_gate.setSlots(0, now);
        }
        m_gate.setRateLimit(notice().rateLimit, now);
        startReleased(now);
    }
    if (m_hooks.noticeChanged) {
        m_hooks.noticeChanged(start, m_notices.current(start));
    }
}

poison_status routed_target::standingOf(const call_request& request) const
{
    return m_hooks.standingOf ? m_hooks.standingOf(request.context.content) : poison_status::Harmless;
}

void routed_target::start(std::uint64_t arrivalId, time_point now)
{
    auto& call = m_arrivals.at(arrivalId);
    if (standingOf(call.request) == poison_status::Poison) {
        // The content became known as poison while the call waited.
        m_gate.cancel(arrivalId, now);
        refuse(arrivalId, verdict::notRun(verdict_reason::Poison, poisonRetention), now);
        return;
    }
    call.running = true;
    call.server = m_server->start;
    call.started = now;
    m_runOfRequest[call.request.context.requestId] = arrivalId;
    m_hooks.run(arrivalId, *m_server, call.request, m_deadlines.begin(arrivalId, call.request.context.deadline));
    // The run keeps the body until it is sent, and nothing else needs it.
    auto running = m_arrivals.find(arrivalId);
    if (running != m_arrivals.end()) {
        running->second.request.body.clear();
    }
}

void routed_target::refuse(std::uint64_t arrivalId, const verdict& refusalVerdict, time_point now)
{
    auto extracted = m_arrivals.extract(arrivalId);
    const auto& call = extracted.mapped();
    if (m_hooks.observed) {
        call_observation observation { call_decision::Rejected, call.request.context, now };
        observation.outcome = refusalVerdict;
        observation.inputs.cut = m_gate.cut();
        m_hooks.observed(observation);
    }
    reply(call, makeCallAnswer(0, 0, refusalVerdict), now);
}

void routed_target::cancel(std::uint64_t arrivalId, time_point now)
{
    auto extracted = m_arrivals.extract(arrivalId);
    if (!extracted) {
        return;
    }
    if (extracted.mapped().running) {
        forgetRun(arrivalId, extracted.mapped());
        m_lostRuns.runCancelled(extracted.mapped().request.context.content, now);
        m_hooks.cancelRun(arrivalId);
    }
    m_gate.cancel(arrivalId, now);
    startReleased(now);
}

void routed_target::forgetRun(std::uint64_t runId, const arrival& call)
{
    m_deadlines.end(runId);
    auto found = m_runOfRequest.find(call.request.context.requestId);
    // Another attempt of the same request may have replaced the entry.
    if (found != m_runOfRequest.end() && found->second == runId) {
        m_runOfRequest.erase(found);
    }
}

void routed_target::serverAnswered(std::uint64_t runId, const call_answer& answer, time_point now)
{
    auto extracted = m_arrivals.extract(runId);
    if (!extracted) {
        return;
    }
    const auto& call = extracted.mapped();
    forgetRun(runId, call);
    if (answer.outcome.run == execution::Ran) {
        if (answer.status < minServerErrorStatus) {
            recordServed(call.request);
            recordServiceTime(call, now);
        }
        m_gate.finish(runId, { std::chrono::duration_cast<std::chrono::microseconds>(now - call.started), false }, now);
    } else {
        // The server never gets more calls than it has slots. If it refuses one all the same,
        // the reason is not its load, and a lower limit would not reduce its refusals.
        m_gate.cancel(runId, now);
    }
    if (answer.outcome.reason == verdict_reason::AnswerLost) {
        m_lostRuns.runLost(call.server, call.request.context.content, now);
    }
    reply(call, answer, now);
    startReleased(now);
}

void routed_target::reply(const arrival& call, call_answer answer, time_point now)
{
    answer.callId = call.request.callId;
    answer.attempt = call.request.attempt;
    answer.cut = m_gate.cut();
    const auto* onward = highestMean(call.onwardCuts);
    if (onward && onward->mean() >= answer.cut) {
        answer.cut = onward->mean();
        answer.cost = onward->cost;
    } else if (call.running) {
        answer.cost = { call.request.service, std::chrono::duration_cast<std::chrono::microseconds>(now - call.started) };
    }
    answer.zoneCrossings = call.zoneCrossings;
    answer.inFlight = m_gate.inFlight() + static_cast<std::uint32_t>(m_gate.waiting());
    answer.limit = m_gate.limit();
    if (m_gate.isRateLimited() && !m_gate.hasFreeSlot(now)) {
        answer.inFlight = std::max(answer.inFlight, answer.limit);
    }
    answer.notice = relayedNotice(now);
    answer.meanServiceTime = m_pace.meanServiceTime(call.request.context.requestClass, now).value_or(answer.meanServiceTime);
    call.replier(answer);
}

std::optional<relayed_notice> routed_target::relayedNotice(time_point now) const
{
    auto result = m_server ? m_notices.toRelay(m_server->start, now) : std::nullopt;
    if (result) {
        result->observer = m_observer;
    }
    return result;
}

void routed_target::startReleased(time_point now)
{
    for (const auto& released : m_gate.release(now)) {
        if (m_arrivals.count(released.callId) == 0) {
            m_gate.cancel(released.callId, now);
            continue;
        }
        if (released.decision.outcome == admission_outcome::Refuse) {
            refuse(released.callId, released.decision.refusal, now);
            continue;
        }
        start(released.callId, now);
    }
}

std::optional<parent_run> routed_target::findParent(const std::string& parentId, time_point deadline) const
{
    auto namedRun = m_runOfRequest.find(parentId);
    auto runId = namedRun != m_runOfRequest.end() ? std::optional(namedRun->second) : std::nullopt;
    if (parentId.empty()) {
        runId = m_deadlines.find(deadline);
    }
    if (!runId) {
        return std::nullopt;
    }
    return parent_run { *runId, m_arrivals.at(*runId).request.context };
}

void routed_target::recordOnwardCall(std::uint64_t runId, const onward_report& report)
{
    auto found = m_arrivals.find(runId);
    if (found == m_arrivals.end()) {
        return;
    }
    found->second.zoneCrossings += report.zoneCrossings;
    auto& cuts = found->second.onwardCuts;
    auto serviceCut = std::find_if(cuts.begin(), cuts.end(), [&report](const service_cut& candidate) { return candidate.service == report.service; });
    if (serviceCut == cuts.end()) {
        serviceCut = cuts.insert(cuts.end(), service_cut { report.service });
    }
    serviceCut->sum += report.cut;
    ++serviceCut->calls;
    if (!report.cost.service.empty()) {
        serviceCut->cost.service = report.cost.service;
        serviceCut->cost.slotTime += report.cost.slotTime;
    }
}

const routed_target::service_cut* routed_target::highestMean(const std::vector<service_cut>& cuts)
{
    auto lower = [](const service_cut& a, const service_cut& b) { return a.mean() < b.mean(); };
    auto found = std::max_element(cuts.begin(), cuts.end(), lower);
    return found == cuts.end() ? nullptr : &*found;
}

std::vector<run_in_progress> routed_target::runsInProgress(time_point now, std::size_t maxCount) const
{
    std::vector<run_in_progress> result;
    for (const auto& [id, call] : m_arrivals) {
        if (!call.running || result.size() >= maxCount) {
            continue;
        }
        const auto& context = call.request.context;
        result.push_back({ context.requestId, context.requestClass, call.server.instanceId, std::chrono::duration_cast<std::chrono::microseconds>(now - call.started) });
    }
    return result;
}

void routed_target::serverChecked(server_presence presence, time_point now)
{
    reportServerEnd(m_lostRuns.probed(presence, now));
}

// A content that the server answered recently did not terminate it. Without this exception, two
// servers that are lost together would turn every frequently requested content into poison.
void routed_target::reportServerEnd(std::optional<server_end> end)
{
    if (!end || !m_hooks.serverEnded) {
        return;
    }
    auto& suspects = end->running;
    auto wasServed = [this](request_fingerprint content) { return m_servedContents.has(content); };
    suspects.erase(std::remove_if(suspects.begin(), suspects.end(), wasServed), suspects.end());
    m_hooks.serverEnded(*end);
}

// Runs that started during the announced warm-up are not counted: the server is slower then.
void routed_target::recordServiceTime(const arrival& call, time_point now)
{
    if (call.started < m_warmupEnd) {
        return;
    }
    m_pace.recordRun(call.request.context.requestClass, std::chrono::duration_cast<std::chrono::microseconds>(now - call.started));
}

void routed_target::recordServed(const call_request& request)
{
    auto content = request.context.content;
    m_servedContents.add(content);
    if (m_hooks.contentServed) {
        m_hooks.contentServed(content);
    }
}

void routed_target::tick(time_point now)
{
    if (m_hooks.checkServer && m_lostRuns.startProbeIfDue(now)) {
        m_hooks.checkServer();
    }
    startReleased(now);
}

}
