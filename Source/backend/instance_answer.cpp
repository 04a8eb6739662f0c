#include "backend/instance_answer.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusMisdirected = 421;
    constexpr unsigned minSuccessStatus = 200;
    constexpr unsigned minRedirectStatus = 300;

    bool isSuccess(unsigned status)
    {
        return status >= minSuccessStatus && status < minRedirectStatus;
    }

}

bool answersRequest(const answer_metadata& metadata, const std::string& requestId)
{
    return metadata.requestId.empty() || metadata.requestId == requestId;
}

call_answer classifyAnswer(instance_result result, const answer_metadata& metadata)
{
    if (const auto* failure = std::get_if<instance_failure>(&result)) {
        auto answerLost = verdict::mayHaveRun(verdict_reason::AnswerLost);
        return makeCallAnswer(0, 0, failure->sent ? answerLost : verdict::notRun(verdict_reason::BackendUnreachable));
    }
    auto& response = std::get<http_response>(result);
    if (metadata.isNotExecuted || response.status == statusMisdirected) {
        return makeCallAnswer(0, 0, verdict::notRun(verdict_reason::BackendRefused));
    }
    bool isAuthentic = metadata.isSealed && !metadata.isEncoded && !metadata.requestId.empty();
    if (isSuccess(response.status) && !isAuthentic) {
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
