#include "backend/backend_client.h"

#include "call/header_names.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr unsigned statusServiceUnavailable = 503;

    bool isVanillashuntField(const std::string& name)
    {
        constexpr const char* prefix = "Vanillashunt-";
        return equalIgnoringCase(name.substr(0, std::char_traits<char>::length(prefix)), prefix);
    }

    http_request backendRequest(const call_request& call, const std::string& contextText, std::chrono::milliseconds remaining)
    {
        http_request request;
        request.method = call.method;
        request.target = call.path;
        for (const auto& field : call.fields) {
            if (!isVanillashuntField(field.name)) {
                request.fields.push_back(field);
            }
        }
        request.fields.push_back({ header::context, contextText });
        request.fields.push_back({ header::requestId, call.context.requestId });
        request.fields.push_back({ header::organisation, call.context.organisation });
        request.fields.push_back({ header::attempt, std::to_string(call.attempt) });
        request.fields.push_back({ header::timeout, std::to_string(remaining.count()) + "ms" });
        request.body = call.body;
        return request;
    }

    verdict failureVerdict(const http_failure& failure)
    {
        if (!failure.sent) {
            return verdict::notRun(verdict_reason::BackendUnreachable);
        }
        if (failure.tooLarge) {
            return verdict::mayHaveRun(verdict_reason::AnswerTooLarge);
        }
        if (failure.noMemory) {
            return verdict::mayHaveRun(verdict_reason::NoMemory);
        }
        return verdict::mayHaveRun(failure.timedOut ? verdict_reason::DeadlinePassed : verdict_reason::AnswerLost);
    }

    call_answer readResponse(http_response response)
    {
        call_answer answer;
        bool refused = response.status == statusServiceUnavailable
            && parseExecution(fieldValue(response.fields, header::verdict)) == execution::NotRun;
        if (refused) {
            answer.outcome = verdict::notRun(verdict_reason::BackendRefused);
            return answer;
        }
        answer.outcome = verdict::answered();
        answer.status = response.status;
        for (auto& field : response.fields) {
            if (!isVanillashuntField(field.name)) {
                answer.fields.push_back(std::move(field));
            }
        }
        answer.body = std::move(response.body);
        return answer;
    }

}

backend_client::backend_client(boost::asio::io_context& context, const http_client_settings& settings)
    : m_client(context, settings)
{
}

std::uint64_t backend_client::run(const std::string& address, const call_request& call, const std::string& contextText,
    std::chrono::steady_clock::time_point now, answered_handler handler)
{
    auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.context.deadline - now);
    remaining = std::max(remaining, std::chrono::milliseconds(1));
    auto request = backendRequest(call, contextText, remaining);
    return m_client.send(address, request, remaining, [handler = std::move(handler)](http_result result) {
        if (auto* failure = std::get_if<http_failure>(&result)) {
            handler(makeCallAnswer(0, 0, failureVerdict(*failure)));
            return;
        }
        handler(readResponse(std::move(std::get<http_response>(result))));
    });
}

void backend_client::cancel(std::uint64_t id)
{
    m_client.cancel(id);
}

void backend_client::probe(const std::string& address, const std::string& path, std::chrono::milliseconds timeout, http_result_handler handler)
{
    m_client.send(address, { "GET", path, {}, {} }, timeout, std::move(handler));
}

}
