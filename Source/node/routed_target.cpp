#include "node/routed_target.h"

#include "admission/usable_slots.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr unsigned leastServerError = 500;

    // By then a call of the same content has ended, mostly, or its server has.
    constexpr std::chrono::milliseconds suspectReturn { 500 };

    admission_settings gateSettings(const std::function<std::uint64_t()>& random)
    {
        admission_settings settings;
        settings.chance = [random](std::uint64_t bound) { return random() % bound; };
        return settings;
    }

}

routed_target::routed_target(target_hooks hooks, bool balanceByPace)
    : m_hooks(std::move(hooks))
    , m_balanceByPace(balanceByPace)
    , m_gate(gateSettings(m_hooks.random))
{
}

void routed_target::setServer(const std::optional<server_report>& server, bool takesWork, time_point now)
{
    bool replaced = m_server && server && m_server->start != server->start;
    if (replaced) {
        // Another start: what the gate has learnt of the last one does not hold.
        m_gate.setSlots(0, now);
        m_pace.restart();
    }
    bool startedAgain = replaced && isLaterStart(server->start, m_server->start);
    m_server = server;
    m_takesWork = takesWork;
    if (server && server->warmupLeft.count() > 0) {
        m_warmFrom = now + server->warmupLeft;
    }
    m_gate.setSlots(takesWork ? usableSlots(server->slots) : 0, takesWork ? server->warmupLeft : std::chrono::milliseconds(0), now);
    if (startedAgain) {
        m_hooks.serverStartedAgain();
        // Only now that the gate has slots again: what waits is for the new start.
        endRuns(now);
    }
    if (server) {
        noteServerEnd(m_lostRuns.serverNamed(server->start, now));
    }
    startReleased(now);
}

// The runs ended with the start that had them. Another id at the address is no proof of
// that: its report may be the late one.
void routed_target::endRuns(time_point now)
{
    std::vector<std::uint64_t> ended;
    for (const auto& [id, entry] : m_arrivals) {
        if (entry.running) {
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
    if (!m_takesWork) {
        return verdict::notRun(verdict_reason::Draining);
    }
    return refusalOfContent(request);
}

// Of a content under which servers have ended one call at a time is in progress here: if it
// ends the server, it does so alone.
std::optional<verdict> routed_target::refusalOfContent(const call_request& request) const
{
    auto standing = standingOf(request);
    if (standing == poison_status::Poison) {
        return verdict::notRun(verdict_reason::Poison, poisonRetention);
    }
    if (standing != poison_status::Harmless && isInProgress(request.context.content)) {
        return verdict::notRun(verdict_reason::Poison, suspectReturn);
    }
    return std::nullopt;
}

bool routed_target::isInProgress(request_fingerprint content) const
{
    return std::any_of(m_arrivals.begin(), m_arrivals.end(), [content](const auto& entry) { return entry.second.request.context.content == content; });
}

std::uint64_t routed_target::arrive(call_request request, call_replier replier, time_point now)
{
    auto id = m_hooks.random();
    request.context.content = fingerprintOf(request.path, request.body);
    auto refusal = refusalBeforeGate(request);
    if (!refusal && request.refuseIfFull && isBetterElsewhere(now)) {
        refusal = verdict::notRun(verdict_reason::NoFreeSlot);
    }
    // The gate is not told the organisation: each is shed in proportion to what it asks, since
    // places in the order are drawn by request, and what is beyond a limit never comes here. With
    // parts for each a gate that sees a few calls of each would refuse those of the large ones.
    admission_request asking { id, request.context.position, "", request.context.deadline, request.context.requestClass, request.context.depth > 0 };
    m_arrivals.emplace(id, arrival { std::move(request), std::move(replier) });
    if (refusal) {
        refuse(id, *refusal, now);
        return id;
    }
    auto decision = m_gate.arrive(asking, now);
    if (decision.outcome == admission_outcome::Refuse) {
        refuse(id, decision.refusal, now);
    } else if (decision.outcome == admission_outcome::Run) {
        start(id, now);
    }
    // It may have taken the place of a waiting call, which is to be told.
    startReleased(now);
    return id;
}

// Whether a call whose sender goes on to other targets is better run there: no slot is free, or
// the server's machine is slow at this moment, which only the node beside it knows in time.
bool routed_target::isBetterElsewhere(time_point now)
{
    return !m_gate.hasFreeSlot(now) || m_pace.isSlow(now);
}

void routed_target::serverTold(const server_start& start, const server_load& load, time_point now)
{
    if (!m_balanceByPace || !m_server || m_server->start != start) {
        return;
    }
    m_pace.told(load, m_server->slots, m_gate.inFlight(), now);
}

poison_status routed_target::standingOf(const call_request& request) const
{
    return m_hooks.standingOf ? m_hooks.standingOf(request.context.content) : poison_status::Harmless;
}

void routed_target::start(std::uint64_t arrivalId, time_point now)
{
    auto& entry = m_arrivals.at(arrivalId);
    if (standingOf(entry.request) == poison_status::Poison) {
        // It has become known while the call waited.
        m_gate.cancel(arrivalId, now);
        refuse(arrivalId, verdict::notRun(verdict_reason::Poison, poisonRetention), now);
        return;
    }
    entry.running = true;
    entry.server = m_server->start;
    entry.started = now;
    m_runOfRequest[entry.request.context.requestId] = arrivalId;
    m_hooks.run(arrivalId, *m_server, entry.request, m_deadlines.begin(arrivalId, entry.request.context.deadline));
}

void routed_target::refuse(std::uint64_t arrivalId, const verdict& why, time_point now)
{
    auto node = m_arrivals.extract(arrivalId);
    const auto& entry = node.mapped();
    if (m_hooks.observed) {
        call_observation seen { call_decision::Rejected, entry.request.context, now };
        seen.outcome = why;
        seen.inputs.cut = m_gate.cut();
        m_hooks.observed(seen);
    }
    reply(entry, makeCallAnswer(0, 0, why), now);
}

void routed_target::cancel(std::uint64_t arrivalId, time_point now)
{
    auto node = m_arrivals.extract(arrivalId);
    if (!node) {
        return;
    }
    if (node.mapped().running) {
        forgetRun(arrivalId, node.mapped());
        m_lostRuns.cancelled(node.mapped().request.context.content, now);
        m_hooks.cancelRun(arrivalId);
    }
    m_gate.cancel(arrivalId, now);
    startReleased(now);
}

void routed_target::forgetRun(std::uint64_t runId, const arrival& entry)
{
    m_deadlines.end(runId);
    auto found = m_runOfRequest.find(entry.request.context.requestId);
    // The same request may have come again, by another attempt.
    if (found != m_runOfRequest.end() && found->second == runId) {
        m_runOfRequest.erase(found);
    }
}

void routed_target::serverAnswered(std::uint64_t runId, const call_answer& answer, time_point now)
{
    auto node = m_arrivals.extract(runId);
    if (!node) {
        return;
    }
    const auto& entry = node.mapped();
    forgetRun(runId, entry);
    if (answer.outcome.run == execution::Ran) {
        if (answer.status < leastServerError) {
            noteServed(entry.request);
            notePace(entry, now);
        }
        m_gate.finish(runId, { std::chrono::duration_cast<std::chrono::microseconds>(now - entry.started), false }, now);
    } else {
        // A server that is never given more than its slots, and refuses all the same,
        // refuses for a reason of its own: fewer calls would not make it refuse less.
        m_gate.cancel(runId, now);
    }
    if (answer.outcome.reason == verdict_reason::AnswerLost) {
        m_lostRuns.lost(entry.server, entry.request.context.content, now);
    }
    reply(entry, answer, now);
    startReleased(now);
}

void routed_target::reply(const arrival& entry, call_answer answer, time_point now) const
{
    answer.callId = entry.request.callId;
    answer.attempt = entry.request.attempt;
    answer.cut = m_gate.cut();
    const auto* onward = highest(entry.onwardCuts);
    if (onward && onward->mean() >= answer.cut) {
        answer.cut = onward->mean();
        answer.cost = onward->cost;
    } else if (entry.running) {
        answer.cost = { entry.request.service, std::chrono::duration_cast<std::chrono::microseconds>(now - entry.started) };
    }
    answer.zoneCrossings = entry.zoneCrossings;
    answer.inFlight = m_gate.inFlight() + static_cast<std::uint32_t>(m_gate.waiting());
    answer.limit = m_gate.limit();
    answer.meanServiceTime = m_pace.meanServiceTime(entry.request.context.requestClass, now).value_or(answer.meanServiceTime);
    entry.replier(answer);
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
    auto named = m_runOfRequest.find(parentId);
    auto runId = named != m_runOfRequest.end() ? std::optional(named->second) : std::nullopt;
    if (parentId.empty()) {
        runId = m_deadlines.find(deadline);
    }
    if (!runId) {
        return std::nullopt;
    }
    return parent_run { *runId, m_arrivals.at(*runId).request.context };
}

void routed_target::learnOnward(std::uint64_t runId, const onward_report& report)
{
    auto found = m_arrivals.find(runId);
    if (found == m_arrivals.end()) {
        return;
    }
    found->second.zoneCrossings += report.zoneCrossings;
    auto& cuts = found->second.onwardCuts;
    auto met = std::find_if(cuts.begin(), cuts.end(), [&report](const met_cut& each) { return each.service == report.service; });
    if (met == cuts.end()) {
        met = cuts.insert(cuts.end(), met_cut { report.service });
    }
    met->sum += report.cut;
    ++met->calls;
    if (!report.cost.service.empty()) {
        met->cost.service = report.cost.service;
        met->cost.slotTime += report.cost.slotTime;
    }
}

const routed_target::met_cut* routed_target::highest(const std::vector<met_cut>& cuts)
{
    auto lower = [](const met_cut& a, const met_cut& b) { return a.mean() < b.mean(); };
    auto found = std::max_element(cuts.begin(), cuts.end(), lower);
    return found == cuts.end() ? nullptr : &*found;
}

std::vector<run_in_progress> routed_target::runsInProgress(time_point now, std::size_t most) const
{
    std::vector<run_in_progress> result;
    for (const auto& [id, entry] : m_arrivals) {
        if (!entry.running || result.size() >= most) {
            continue;
        }
        const auto& context = entry.request.context;
        result.push_back({ context.requestId, context.requestClass, entry.server.instanceId, std::chrono::duration_cast<std::chrono::microseconds>(now - entry.started) });
    }
    return result;
}

void routed_target::serverAsked(server_presence presence, time_point now)
{
    noteServerEnd(m_lostRuns.asked(presence, now));
}

// What the server has served a moment before did not end it: without this two servers that
// are lost together would make poison of whatever is asked for all the time.
void routed_target::noteServerEnd(std::optional<server_end> end)
{
    if (!end || !m_hooks.serverEnded) {
        return;
    }
    auto& suspects = end->running;
    auto wasServed = [this](request_fingerprint content) { return m_served.has(content); };
    suspects.erase(std::remove_if(suspects.begin(), suspects.end(), wasServed), suspects.end());
    m_hooks.serverEnded(*end);
}

// A server that has just started is slow for a time that it tells: that is not its usual pace.
void routed_target::notePace(const arrival& entry, time_point now)
{
    if (entry.started < m_warmFrom) {
        return;
    }
    m_pace.ran(entry.request.context.requestClass, std::chrono::duration_cast<std::chrono::microseconds>(now - entry.started));
}

void routed_target::noteServed(const call_request& request)
{
    auto content = request.context.content;
    m_served.add(content);
    if (m_hooks.contentServed) {
        m_hooks.contentServed(content);
    }
}

void routed_target::tick(time_point now)
{
    if (m_hooks.askServer && m_lostRuns.takeDue(now)) {
        m_hooks.askServer();
    }
    startReleased(now);
}

}
