#pragma once

#include "backend/instance_client.h"
#include "call/call_answer.h"
#include "call/request_metadata.h"

namespace vanillashunt {

// Whether an answer may belong to the request: it has the request's id, or none.
bool answersRequest(const answer_metadata&, const std::string& requestId);

// Whether a response with this status and metadata can be the answer to the request, if it is complete.
bool isUsableAnswer(unsigned status, const answer_metadata&, const std::string& requestId);

// Determines the verdict of a request from the server's response, or from the failure to get one.
// The metadata is that of the response.
call_answer classifyAnswer(instance_result, const answer_metadata&);

}
