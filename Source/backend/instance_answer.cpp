#include "backend/instance_answer.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusMisdirected = 421;
    constexpr unsigned minSuccessStatus = 200;
    constexpr unsigned minRedirectStatus = 300;

    verdict_reason reasonOf(instance_failure_cause cause)
    {
        switch (cause) {
        case instance_failure_cause::AnswerTooLarge:
            return verdict_reason::AnswerTooLarge;
        case instance_failure_cause::NoMemory:
            return verdict_reason::NoMemory;
        case instance_failure_cause::Lost:
            break;
        }
        return verdict_reason::AnswerLost;
    }

    bool isSuccess(unsigned status)
    {
        return status >= minSuccessStatus && status < minRedirectStatus;
    }

    bool isAuthentic(const answer_metadata& metadata)
    {
        return metadata.isSealed && !metadata.isEncoded && !metadata.requestId.empty();
    }

}

bool isUsableAnswer(unsigned status, const answer_metadata& metadata, const std::string& requestId)
{
    return answersRequest(metadata, requestId) && (isAuthentic(metadata) || !isSuccess(status));
}

bool answersRequest(const answer_metadata& metadata, const std::string& requestId)
{
    return metadata.requestId.empty() || metadata.requestId == requestId;
}

call_answer classifyAnswer(instance_result result, const answer_metadata& metadata)
{
    if (const auto* failure = std::get_if<instance_failure>(&result)) {
        return makeCallAnswer(0, 0, failure->sent ? verdict::mayHaveRun(reasonOf(failure->cause)) : verdict::notRun(verdict_reason::BackendUnreachable));
    }
    auto& response = std::get<http_response>(result);
    if (metadata.isNotExecuted || response.status == statusMisdirected) {
        return makeCallAnswer(0, 0, verdict::notRun(verdict_reason::BackendRefused));
    }
    if (isSuccess(response.status) && !isAuthentic(metadata)) {
        // An unsigned response does not prove that the server itself answered, even with status 2xx.
        return makeCallAnswer(0, 0, verdict::mayHaveRun(verdict_reason::AnswerLost));
    }
    call_answer answer;
    answer.outcome = verdict::answered();
    answer.status = response.status;
    answer.fields = std::move(response.fields);
    answer.body = std::move(response.body);
    return answer;
}

}
