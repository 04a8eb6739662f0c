#include "node/routed_calls.h"

#include "node/message_memory.h"
#include "platform/request_headers.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusBadRequest = 400;

    // For clients that do not say how long they wait.
    constexpr std::chrono::milliseconds defaultTimeout { 10000 };

    peer_client_settings peerSettings(const node_settings& settings, const std::shared_ptr<byte_budget>& budget)
    {
        peer_client_settings result;
        result.outgoingAddress = settings.outgoingAddress;
        result.maxBodyBytes = largestBody(settings, *budget);
        result.budget = budget;
        return result;
    }

    instance_client_settings instanceSettings(const node_settings& nodeSettings, const std::shared_ptr<byte_budget>& budget)
    {
        instance_client_settings settings;
        settings.outgoingAddress = nodeSettings.outgoingAddress;
        settings.maxBodyBytes = largestBody(nodeSettings, *budget);
        settings.budget = budget;
        return settings;
    }

    entry_settings entrySettings(const node_settings& nodeSettings)
    {
        entry_settings settings;
        settings.location = { nodeSettings.availabilityZone, nodeSettings.region };
        settings.ownService = nodeSettings.routes->service;
        settings.retries = { nodeSettings.routes->retryRatio, nodeSettings.routes->retrySlack, nodeSettings.routes->retryWindow };
        return settings;
    }

    http_response responseTo(const std::string& requestId, entry_answer result)
    {
        if (result.outcome.run == execution::Ran) {
            return { result.answer.status, std::move(result.answer.fields), std::move(result.answer.body) };
        }
        http_response response { result.refusalStatus, { requestIdField(requestId), { "Content-Type", "text/plain" } }, result.message + "\n" };
        if (result.outcome.run == execution::NotRun && result.outcome.retryAfter.count() > 0) {
            response.fields.push_back(retryAfterField(result.outcome.retryAfter));
        }
        return response;
    }

}

routed_calls::routed_calls(boost::asio::io_context& context, const node_settings& settings, const std::shared_ptr<byte_budget>& budget, std::uint64_t selfId, time_point started, routed_call_hooks hooks)
    : m_selfId(selfId)
    , m_hooks(std::move(hooks))
    , m_peers(context, peerSettings(settings, budget))
    , m_runs(context, settings.routes->server, instanceSettings(settings, budget), runHooks())
    , m_target(targetHooks(), settings.routes->balanceByPace)
    , m_entry(entrySettings(settings), entryHooks(), started)
{
}

entry_hooks routed_calls::entryHooks()
{
    entry_hooks hooks;
    hooks.send = [this](std::uint64_t attemptId, const member& target, const call_request& request) { sendAttempt(attemptId, target, request); };
    hooks.cancelAttempt = [this](std::uint64_t attemptId) { cancelAttempt(attemptId); };
    hooks.attemptEnded = [this](std::uint64_t memberId, bool answered) { m_hooks.attemptEnded(memberId, answered); };
    hooks.findParent = [this](const entry_request& request) { return m_target.findParent(request.parentId, request.deadline); };
    hooks.onwardCallEnded = [this](std::uint64_t runId, const onward_report& report) { m_target.recordOnwardCall(runId, report); };
    hooks.standingOf = [this](request_fingerprint content) { return m_hooks.standingOf(content); };
    hooks.takeQuota = m_hooks.takeQuota;
    hooks.cancelQuota = m_hooks.cancelQuota;
    hooks.giveBackQuota = m_hooks.giveBackQuota;
    hooks.random = [this] { return m_hooks.random(); };
    hooks.observed = [this](const call_observation& observation) { m_hooks.observed(observation); };
    return hooks;
}

target_hooks routed_calls::targetHooks()
{
    target_hooks hooks;
    hooks.run = [this](std::uint64_t runId, const server_report& server, const call_request& request, std::chrono::steady_clock::time_point deadline) {
        m_runs.begin(runId, server, request, deadline);
    };
    hooks.cancelRun = [this](std::uint64_t runId) { m_runs.cancel(runId); };
    hooks.serverRestarted = [this] { m_runs.closeIdle(); };
    hooks.checkServer = [this] {
        m_runs.checkPresence([this](server_presence presence) { m_target.serverChecked(presence, std::chrono::steady_clock::now()); });
    };
    hooks.serverEnded = [this](const server_end& end) { m_hooks.serverEnded(end); };
    hooks.noticeChanged = [this](const server_start& start, const server_notice& notice) { m_hooks.noticeChanged(start, notice); };
    hooks.standingOf = [this](request_fingerprint content) { return m_hooks.standingOf(content); };
    hooks.contentServed = [this](request_fingerprint content) { m_hooks.contentServed(content); };
    hooks.random = [this] { return m_hooks.random(); };
    hooks.observed = [this](const call_observation& observation) { m_hooks.observed(observation); };
    return hooks;
}

server_run_hooks routed_calls::runHooks()
{
    server_run_hooks hooks;
    hooks.answered = [this](std::uint64_t runId, const call_answer& answer) { m_target.serverAnswered(runId, answer, std::chrono::steady_clock::now()); };
    hooks.misdirected = [this](const server_start& start) {
        m_hooks.misdirected(start);
    };
    hooks.answerCutOff = [this](const server_start& start) { m_hooks.answerCutOff(start); };
    hooks.loadReported = [this](const server_start& start, const std::optional<server_load>& load) {
        if (load) {
            m_target.serverReportedLoad(start, *load, std::chrono::steady_clock::now());
        } else {
            m_hooks.loadUnreadable(start);
        }
    };
    hooks.noticeReceived = [this](const server_start& start, const received_notice& notice) { m_target.noticeReceived(start, notice, std::chrono::steady_clock::now()); };
    hooks.noticeUnreadable = [this](const server_start& start) { m_hooks.noticeUnreadable(start); };
    return hooks;
}

void routed_calls::requestArrived(http_request request, const std::shared_ptr<http_exchange>& exchange)
{
    auto now = std::chrono::steady_clock::now();
    auto terms = readRequestTerms(request.fields);
    if (terms.requestId.empty()) {
        exchange->respond({ statusBadRequest, {}, "the request has no id\n" });
        return;
    }
    if (terms.hasSeveralKeys) {
        exchange->respond({ statusBadRequest, {}, "the request has several keys\n" });
        return;
    }
    removeClientTerms(request.fields);
    m_hooks.callArrived();
    auto deadline = now + terms.remaining.value_or(defaultTimeout);
    entry_request entryRequest { terms.requestId, terms.parentId, terms.key, std::move(request), deadline };
    auto callId = m_entry.arrive(
        std::move(entryRequest), [exchange, requestId = terms.requestId](entry_answer answer) {
            exchange->respond(responseTo(requestId, std::move(answer)));
        },
        now);
    exchange->setDisconnectHandler([this, callId] { m_entry.cancel(callId, std::chrono::steady_clock::now()); });
}

void routed_calls::sendAttempt(std::uint64_t attemptId, const member& target, const call_request& request)
{
    if (target.id != m_selfId) {
        auto id = m_peers.start(target.address, request, [this, attemptId](call_answer answer) { attemptAnswered(attemptId, std::move(answer)); });
        m_paths[attemptId] = { false, id };
        return;
    }
    m_paths[attemptId] = { true, 0 };
    auto id = m_target.arrive(
        request, [this, attemptId](const call_answer& answer) { attemptAnswered(attemptId, answer); }, std::chrono::steady_clock::now());
    auto path = m_paths.find(attemptId);
    if (path != m_paths.end()) {
        path->second.id = id;
    }
}

void routed_calls::cancelAttempt(std::uint64_t attemptId)
{
    auto extracted = m_paths.extract(attemptId);
    if (!extracted) {
        return;
    }
    if (extracted.mapped().local) {
        m_target.cancel(extracted.mapped().id, std::chrono::steady_clock::now());
    } else {
        m_peers.cancel(extracted.mapped().id);
    }
}

void routed_calls::attemptAnswered(std::uint64_t attemptId, call_answer answer)
{
    m_paths.erase(attemptId);
    m_entry.attemptAnswered(attemptId, std::move(answer), std::chrono::steady_clock::now());
}

void routed_calls::peerCallArrived(call_request request, const std::shared_ptr<peer_exchange>& exchange)
{
    m_hooks.callArrived();
    auto id = m_target.arrive(
        std::move(request), [exchange](const call_answer& answer) { exchange->answer(answer); }, std::chrono::steady_clock::now());
    exchange->setCancelHandler([this, id] { m_target.cancel(id, std::chrono::steady_clock::now()); });
}

void routed_calls::tick(time_point now)
{
    m_entry.tick(now);
    m_target.tick(now);
}

}
