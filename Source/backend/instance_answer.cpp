#include "backend/instance_answer.h"

namespace vanillashunt {

namespace {

    constexpr unsigned statusMisdirected = 421;
    constexpr unsigned leastSuccess = 200;
    constexpr unsigned leastRedirect = 300;

    bool isSuccess(unsigned status)
    {
        return status >= leastSuccess && status < leastRedirect;
    }

}

bool answersRequest(const answer_metadata& marks, const std::string& requestId)
{
    return marks.requestId.empty() || marks.requestId == requestId;
}

call_answer classifyAnswer(instance_result result, const answer_metadata& marks)
{
    if (const auto* failure = std::get_if<instance_failure>(&result)) {
        auto lost = verdict::mayHaveRun(verdict_reason::AnswerLost);
        return makeCallAnswer(0, 0, failure->sent ? lost : verdict::notRun(verdict_reason::BackendUnreachable));
    }
    auto& response = std::get<http_response>(result);
    if (marks.isNotExecuted || response.status == statusMisdirected) {
        return makeCallAnswer(0, 0, verdict::notRun(verdict_reason::BackendRefused));
    }
    bool isOwn = marks.isSealed && !marks.isEncoded && !marks.requestId.empty();
    if (isSuccess(response.status) && !isOwn) {
        // Bytes that are not signed are not the server's answer, whatever they look like.
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
