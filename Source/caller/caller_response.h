#pragma once

#include "call/call_answer.h"
#include "decision/ticket.h"
#include "http/http_message.h"

#include <optional>
#include <string>

namespace vanillashunt {

// The result of a request, as it is sent to the caller.
struct final_answer {
    call_answer answer;
    std::string requestId;
    // Opaque context that the caller returns with a retry; empty for an onward call.
    std::string context;
    // Ticket for retrying a non-idempotent request that did not succeed.
    std::optional<ticket> permit;
    // Human-readable explanation in one sentence; empty if the backend server answered.
    std::string message;
};

// Builds the response that docs/design/headers.md specifies.
http_response toResponse(final_answer);

// The HTTP status for a verdict without an answer from a backend server.
unsigned statusOf(const verdict&);

}
