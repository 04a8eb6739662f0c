#include "node/server_runs.h"

#include "backend/instance_answer.h"
#include "platform/request_headers.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr unsigned statusMisdirected = 421;

    // The server does not accept a timeout of zero.
    constexpr std::chrono::milliseconds minTimeout { 1 };

    // Makes the client check that an answer belongs to the request.
    instance_client_settings withAnswerCheck(instance_client_settings settings)
    {
        settings.isAnswerTo = [](const http_response& response, const std::string& requestId) {
            return answersRequest(readAnswerMarks(response.fields), requestId);
        };
        settings.isUsable = [](unsigned status, const http_fields& fields, const std::string& requestId) {
            return isUsableAnswer(status, readAnswerMarks(fields), requestId);
        };
        return settings;
    }

}

server_runs::server_runs(boost::asio::io_context& context, std::string address, instance_client_settings settings, server_run_hooks hooks)
    : m_address(std::move(address))
    , m_hooks(std::move(hooks))
    , m_client(context, withAnswerCheck(std::move(settings)))
{
}

void server_runs::begin(std::uint64_t runId, const server_report& server, const call_request& request, std::chrono::steady_clock::time_point deadline)
{
    auto now = std::chrono::steady_clock::now();
    auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    http_request message { request.method, request.path, request.fields, request.body };
    writeServerTerms(message.fields, { std::max(timeLeft, minTimeout), server.start.instanceId, request.callerService, request.context.organisation });
    m_clientIds[runId] = m_client.send(m_address, request.context.requestId, message,
        [this, runId, start = server.start, now](instance_result result) { ended(runId, start, now, std::move(result)); });
}

void server_runs::cancel(std::uint64_t runId)
{
    if (auto clientId = m_clientIds.extract(runId)) {
        m_client.cancel(clientId.mapped());
    }
}

void server_runs::checkPresence(const std::function<void(server_presence)>& handler)
{
    if (m_client.hasOpenConnection()) {
        handler(server_presence::Connected);
        return;
    }
    m_client.probe(m_address, [handler](bool answered) { handler(answered ? server_presence::Reachable : server_presence::Gone); });
}

void server_runs::ended(std::uint64_t runId, const server_start& start, time_point sent, instance_result result)
{
    m_clientIds.erase(runId);
    answer_metadata marks;
    const auto* failure = std::get_if<instance_failure>(&result);
    if (failure && failure->cause == instance_failure_cause::AnswerTooLarge) {
        m_hooks.answerCutOff(start);
    }
    if (const auto* response = std::get_if<http_response>(&result)) {
        marks = readAnswerMarks(response->fields);
        if (response->status == statusMisdirected) {
            m_hooks.misdirected(start);
        } else {
            readNotice(start, sent, *response, marks);
        }
    }
    if (marks.load || marks.isLoadUnreadable) {
        m_hooks.loadReported(start, marks.load);
    }
    m_hooks.answered(runId, classifyAnswer(std::move(result), marks));
}

// An answer without the request's id may come from anything that listens at the address.
void server_runs::readNotice(const server_start& start, time_point sent, const http_response& response, const answer_metadata& marks)
{
    if (marks.requestId.empty()) {
        return;
    }
    if (marks.isRateLimitUnreadable || marks.isLeavingUnreadable) {
        m_hooks.noticeUnreadable(start);
    }
    m_hooks.noticeReceived(start, { marks.notice, marks.isSealed && !marks.isRateLimitUnreadable, sent, response.headerReceived });
}

}
