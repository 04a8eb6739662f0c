#pragma once

#include "backend/instance_client.h"
#include "call/call_answer.h"
#include "call/request_metadata.h"

namespace vanillashunt {

// Whether an answer belongs to the request: it names it, or names none.
bool answersRequest(const answer_metadata&, const std::string& requestId);

// Judges what a server answered to a request, and what its silence means. The
// marks are those of the response.
call_answer classifyAnswer(instance_result, const answer_metadata&);

}
