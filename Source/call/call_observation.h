#pragma once

#include "call/call_request.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace vanillashunt {

// One step that a node decided on a call.
enum class call_decision : std::uint8_t {
    Attempt, // Sent to a target's node for the first time.
    Retry, // Sent again.
    AttemptFailed, // An attempt came back without a backend server's answer.
    Rejected, // Not admitted to the own backend server.
    Finished, // The call's caller got its final answer, or left.
};

std::string toString(call_decision);

// What a decision rested on, as far as it did not come with the call itself.
struct decision_inputs {
    // Of the operator's routes; 0 where they have no part in it.
    std::int64_t version = 0;
    // The cut that the call's position was compared with, and how old the news of it was.
    shedding_position cut = 0;
    std::chrono::milliseconds cutAge { 0 };
};

// What metrics, logs and the request journal are told of one step; read at once.
struct call_observation {
    call_decision decision;
    const request_context& context;
    std::chrono::steady_clock::time_point now;
    // With AttemptFailed, Rejected and Finished.
    verdict outcome {};
    // The target's name, or the text that the caller got.
    std::string detail {};
    // With Finished: whether it was a whole request, that is, no onward call, its
    // HTTP status, and how long it took.
    bool isEntryRequest = false;
    std::uint32_t status = 0;
    std::chrono::microseconds duration { 0 };
    decision_inputs inputs {};
};

// Whether a call was given up for the sake of others.
bool isShed(verdict_reason);

using call_observer = std::function<void(const call_observation&)>;

}
