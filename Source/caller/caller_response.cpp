#include "caller/caller_response.h"

#include "call/header_names.h"
#include "http/json_text.h"

namespace vanillashunt {

namespace {

    constexpr long millisecondsPerSecond = 1000;

    std::string refusalBody(const final_answer& final)
    {
        Json::Value body;
        body["verdict"] = toString(final.answer.outcome.run);
        body["reason"] = toString(final.answer.outcome.reason);
        body["request_id"] = final.requestId;
        body["message"] = final.message;
        return writeJson(body);
    }

    void addRetryAfter(std::chrono::milliseconds delay, http_fields& fields)
    {
        if (delay.count() <= 0) {
            return;
        }
        auto seconds = (delay.count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
        fields.push_back({ header::retryAfter, std::to_string(seconds) });
        fields.push_back({ header::retryAfterMilliseconds, std::to_string(delay.count()) });
    }

}

unsigned statusOf(const verdict& outcome)
{
    switch (outcome.reason) {
    case verdict_reason::UnknownService:
    case verdict_reason::UnknownOrganisation:
    case verdict_reason::UnknownClass:
        return 404;
    case verdict_reason::Malformed:
        return 400;
    case verdict_reason::TooLarge:
        return 413;
    case verdict_reason::OverShare:
        return 429;
    case verdict_reason::TicketNeeded:
        return outcome.run == execution::NotRun ? 428 : 503;
    case verdict_reason::DeadlinePassed:
    case verdict_reason::DeadlineTooShort:
        return 504;
    case verdict_reason::AnswerLost:
    case verdict_reason::AnswerTooLarge:
    case verdict_reason::TicketUnknown:
    case verdict_reason::AnswerNotKept:
        return 502;
    default:
        return 503;
    }
}

http_response toResponse(final_answer final)
{
    auto& answer = final.answer;
    http_response response;
    bool hasAnswer = answer.outcome.run == execution::Ran && answer.status != 0;
    if (hasAnswer) {
        response.status = answer.status;
        response.fields = std::move(answer.fields);
        response.body = std::move(answer.body);
    } else {
        response.status = statusOf(answer.outcome);
        response.fields.push_back({ "Content-Type", "application/json" });
        response.body = refusalBody(final);
    }
    auto& fields = response.fields;
    fields.push_back({ header::verdict, toString(answer.outcome.run) });
    fields.push_back({ header::reason, toString(answer.outcome.reason) });
    fields.push_back({ header::requestId, final.requestId });
    if (!final.context.empty()) {
        fields.push_back({ header::context, final.context });
    }
    if (final.permit) {
        fields.push_back({ header::ticket, toString(*final.permit) });
    }
    addRetryAfter(answer.outcome.retryAfter, fields);
    return response;
}

}
