#pragma once

#include "call/call_answer.h"
#include "decision/ticket.h"
#include "http/http_message.h"

#include <optional>
#include <string>

namespace vanillashunt {

// What a caller is told at last.
struct final_answer {
    call_answer answer;
    std::string requestId;
    // For the caller to bring back with a repeat; empty for an onward call.
    std::string context;
    // For the repeat of a non-idempotent request that did not succeed.
    std::optional<ticket> permit;
    // One sentence for people; empty when answered.
    std::string message;
};

// Writes the response of docs/design/headers.md.
http_response toResponse(final_answer);

// The HTTP status of a verdict without a backend server's answer.
unsigned statusOf(const verdict&);

}
