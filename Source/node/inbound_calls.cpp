#include "node/inbound_calls.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    // Maximum size in bytes of the answers kept for repeated non-idempotent calls.
    constexpr std::size_t maxKeptAnswerBytes = 8ULL * 1024 * 1024;

    // Minimum time between two searches of the ledger for expired tickets.
    constexpr std::chrono::milliseconds ledgerCleanupInterval { 1000 };

    std::size_t sizeOf(const call_answer& answer)
    {
        std::size_t size = sizeof answer + answer.body.size();
        for (const auto& field : answer.fields) {
            size += field.name.size() + field.value.size();
        }
        return size;
    }

    verdict repeatVerdict(ticket_state finding)
    {
        switch (finding) {
        case ticket_state::Ran:
            return verdict::ran(verdict_reason::AnswerNotKept);
        case ticket_state::Superseded:
            return verdict::notRun(verdict_reason::TicketNeeded);
        case ticket_state::Lost:
            return verdict::mayHaveRun(verdict_reason::AnswerLost);
        case ticket_state::HandedOver:
            // Another attempt may already have used the successor ticket.
            return verdict::mayHaveRun(verdict_reason::TicketNeeded);
        default:
            return verdict::mayHaveRun(verdict_reason::TicketUnknown);
        }
    }

}

inbound_calls::inbound_calls(std::uint64_t incarnation, std::chrono::steady_clock::time_point started, inbound_hooks hooks, admission_settings admission)
    : m_hooks(std::move(hooks))
    , m_gate(std::move(admission))
    , m_ledger(incarnation, started)
{
}

void inbound_calls::setBackend(std::optional<backend_announcement> announcement, std::chrono::steady_clock::time_point now)
{
    bool replaced = m_backend && announcement && m_backend->address != announcement->address;
    if (replaced) {
        // The new address is a different server, which starts cold.
        m_gate.setSlots(0, now);
    }
    m_backend = std::move(announcement);
    if (m_backend) {
        m_gate.setSlots(m_backend->slots, m_backend->coldStart, now);
    } else {
        m_gate.setSlots(0, now);
    }
    startReleasedCalls(now);
}

void inbound_calls::setContracts(const contract_set& contracts)
{
    std::map<std::string, double> shares;
    for (const auto& [organisation, stored] : contracts.byOrganisation) {
        shares[organisation] = stored.terms.share;
    }
    m_gate.setShares(shares);
}

std::optional<verdict> inbound_calls::refusalBeforeGate(const call_request& request) const
{
    if (m_draining) {
        return verdict::notRun(verdict_reason::Draining);
    }
    if (!m_backend || m_backend->service != request.service) {
        return verdict::notRun(verdict_reason::NoBackendServer);
    }
    if (!request.context.idempotent && !request.permit) {
        return verdict::notRun(verdict_reason::Malformed);
    }
    return std::nullopt;
}

std::uint64_t inbound_calls::arrive(call_request request, answer_callback answerCallback, std::chrono::steady_clock::time_point now)
{
    auto id = m_hooks.random();
    if (request.permit) {
        auto nonce = request.permit->nonce;
        auto finding = m_ledger.begin(*request.permit, now);
        if (finding == ticket_state::Running) {
            // The repeated call waits for the answer to the attempt that is already running.
            auto running = m_arrivalByNonce.at(nonce);
            m_arrivals.at(running).waiters.push_back({ request.callId, request.attempt, std::move(answerCallback) });
            return running;
        }
        if (finding != ticket_state::Run) {
            answerRepeat(request, finding, answerCallback);
            return id;
        }
        m_arrivalByNonce[nonce] = id;
    }
    auto refusal = refusalBeforeGate(request);
    admission_request gateRequest { id, request.context.position, request.context.organisation, request.context.deadline, request.context.requestClass };
    arrival entry;
    entry.tokens = request.context.retryTokens;
    entry.waiters.push_back({ request.callId, request.attempt, std::move(answerCallback) });
    entry.request = std::move(request);
    m_arrivals.emplace(id, std::move(entry));
    if (refusal) {
        refuse(id, *refusal, now);
        return id;
    }
    auto decision = m_gate.arrive(gateRequest, now);
    if (decision.outcome == admission_outcome::Refuse) {
        refuse(id, decision.refusal, now);
    } else if (decision.outcome == admission_outcome::Run) {
        start(id, now);
    }
    // The new call may have evicted a waiting call, which has to be answered.
    startReleasedCalls(now);
    return id;
}

void inbound_calls::answerRepeat(const call_request& request, ticket_state finding, const answer_callback& answerCallback)
{
    auto answer = makeCallAnswer(request.callId, request.attempt, repeatVerdict(finding));
    auto kept = m_keptAnswers.find(request.permit->nonce);
    if (finding == ticket_state::Ran && kept != m_keptAnswers.end()) {
        answer = *kept->second;
        answer.callId = request.callId;
        answer.attempt = request.attempt;
    }
    answer.retryTokens = request.context.retryTokens;
    fillTicket(answer, request.permit->nonce);
    fillLoad(answer, request.context.organisation);
    answerCallback(answer);
}

void inbound_calls::start(std::uint64_t arrivalId, std::chrono::steady_clock::time_point now)
{
    auto& entry = m_arrivals.at(arrivalId);
    entry.running = true;
    entry.startedRunning = now;
    m_hooks.run(arrivalId, m_backend->address, entry.request);
}

void inbound_calls::refuse(std::uint64_t arrivalId, const verdict& cause, std::chrono::steady_clock::time_point now)
{
    auto node = m_arrivals.extract(arrivalId);
    auto& entry = node.mapped();
    auto answer = makeCallAnswer(0, 0, cause);
    recordTicketOutcome(entry.request, answer);
    handOver(entry.request, cause, now);
    reply(entry, answer);
}

// Replaces a ticket that cannot run here any more by a successor at another home. A ticket
// can run at its home only. If the home is stopping or has no backend server, the request
// would be refused until the ticket expires, however often the caller retries it.
void inbound_calls::handOver(const call_request& request, const verdict& cause, std::chrono::steady_clock::time_point now)
{
    bool cannotRun = cause.reason == verdict_reason::Draining || cause.reason == verdict_reason::NoBackendServer;
    if (!request.permit || !cannotRun || !m_hooks.findOtherHome) {
        return;
    }
    auto home = m_hooks.findOtherHome(request.service, now);
    if (!home) {
        return;
    }
    auto successor = mintTicket(*home, m_hooks.random(), now);
    successor.claimed = request.permit->claimed;
    m_ledger.handOver(request.permit->nonce, successor);
    if (m_hooks.handedOver) {
        m_hooks.handedOver(request.context.requestId, *home);
    }
}

void inbound_calls::cancel(std::uint64_t arrivalId, std::chrono::steady_clock::time_point now)
{
    auto found = m_arrivals.find(arrivalId);
    if (found == m_arrivals.end()) {
        return;
    }
    auto& entry = found->second;
    if (entry.waiters.size() > 1 || (entry.running && entry.request.permit)) {
        return;
    }
    if (entry.running) {
        m_hooks.cancelRun(arrivalId);
        m_hooks.runAbandoned(arrivalId);
    }
    recordTicketOutcome(entry.request, makeCallAnswer(0, 0, verdict::notRun(verdict_reason::CallerGone)));
    m_arrivals.erase(found);
    m_gate.cancel(arrivalId, now);
    startReleasedCalls(now);
}

void inbound_calls::backendAnswered(std::uint64_t runId, const call_answer& answer, std::chrono::steady_clock::time_point now)
{
    auto node = m_arrivals.extract(runId);
    if (!node) {
        return;
    }
    auto& entry = node.mapped();
    service_outcome outcome;
    outcome.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - entry.startedRunning);
    outcome.refused = answer.outcome.reason == verdict_reason::BackendRefused;
    m_gate.finish(runId, outcome, now);
    recordTicketOutcome(entry.request, answer);
    if (answer.outcome.run == execution::MayHaveRun) {
        m_hooks.runAbandoned(runId);
    }
    reply(entry, answer);
    startReleasedCalls(now);
}

// Records the outcome of a non-idempotent call for later requests with the same ticket.
void inbound_calls::recordTicketOutcome(const call_request& request, const call_answer& answer)
{
    if (!request.permit) {
        return;
    }
    auto nonce = request.permit->nonce;
    m_arrivalByNonce.erase(nonce);
    switch (answer.outcome.run) {
    case execution::NotRun:
        m_ledger.refused(nonce);
        return;
    case execution::MayHaveRun:
        m_ledger.lost(nonce);
        return;
    case execution::Ran:
        m_ledger.ran(nonce);
        keepAnswer(nonce, answer);
    }
}

void inbound_calls::keepAnswer(std::uint64_t nonce, const call_answer& answer)
{
    m_keptAnswers[nonce] = std::make_shared<call_answer>(answer);
    m_keptOrder.push_back(nonce);
    m_keptBytes += sizeOf(answer);
    while (m_keptBytes > maxKeptAnswerBytes) {
        auto oldest = m_keptAnswers.extract(m_keptOrder.front());
        m_keptOrder.pop_front();
        m_keptBytes -= sizeOf(*oldest.mapped());
    }
}

void inbound_calls::reply(arrival& entry, const call_answer& answer) const
{
    auto complete = answer;
    complete.retryTokens = entry.tokens;
    complete.cut = entry.onwardCut;
    if (entry.request.permit) {
        fillTicket(complete, entry.request.permit->nonce);
    }
    fillLoad(complete, entry.request.context.organisation);
    for (auto& waiter : entry.waiters) {
        complete.callId = waiter.callId;
        complete.attempt = waiter.attempt;
        waiter.answerCallback(complete);
        // Only the first waiter gets the retry tokens; giving them to several would multiply them.
        complete.retryTokens = 0;
    }
}

void inbound_calls::fillTicket(call_answer& answer, std::uint64_t nonce) const
{
    answer.nextUse = m_ledger.nextUse(nonce);
    if (const auto* successor = m_ledger.successor(nonce)) {
        answer.successor = *successor;
    }
}

void inbound_calls::fillLoad(call_answer& answer, const std::string& organisation) const
{
    answer.cut = std::max(answer.cut, m_gate.cutFor(organisation));
    answer.inFlight = m_gate.inFlight() + static_cast<std::uint32_t>(m_gate.waiting());
    answer.limit = m_gate.limit();
}

void inbound_calls::startReleasedCalls(std::chrono::steady_clock::time_point now)
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
        if (!m_backend) {
            m_gate.cancel(released.callId, now);
            refuse(released.callId, verdict::notRun(verdict_reason::NoBackendServer), now);
            continue;
        }
        start(released.callId, now);
    }
}

void inbound_calls::tick(std::chrono::steady_clock::time_point now)
{
    startReleasedCalls(now);
    if (now < m_nextLedgerCleanup) {
        return;
    }
    m_nextLedgerCleanup = now + ledgerCleanupInterval;
    for (auto nonce : m_ledger.forgetExpired(now)) {
        auto kept = m_keptAnswers.extract(nonce);
        if (!kept) {
            continue;
        }
        m_keptBytes -= sizeOf(*kept.mapped());
        m_keptOrder.erase(std::find(m_keptOrder.begin(), m_keptOrder.end(), nonce));
    }
}

std::optional<request_context> inbound_calls::contextOfRun(std::uint64_t runId) const
{
    auto found = m_arrivals.find(runId);
    if (found == m_arrivals.end() || !found->second.running) {
        return std::nullopt;
    }
    return found->second.request.context;
}

std::uint32_t inbound_calls::takeRetryTokens(std::uint64_t runId)
{
    auto found = m_arrivals.find(runId);
    if (found == m_arrivals.end()) {
        return 0;
    }
    auto& tokens = found->second.tokens;
    auto taken = (tokens + 1) / 2;
    tokens -= taken;
    return taken;
}

void inbound_calls::onwardFinished(std::uint64_t runId, std::uint32_t tokensLeft, shedding_position cut)
{
    auto found = m_arrivals.find(runId);
    if (found == m_arrivals.end()) {
        return;
    }
    found->second.tokens += tokensLeft;
    found->second.onwardCut = std::max(found->second.onwardCut, cut);
}

}
