#include "call/call_answer.h"

namespace vanillashunt {

call_answer makeCallAnswer(std::uint64_t callId, std::uint32_t attempt, const verdict& outcome)
{
    call_answer answer;
    answer.callId = callId;
    answer.attempt = attempt;
    answer.outcome = outcome;
    return answer;
}

}
