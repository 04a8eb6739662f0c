#pragma once

#include "call/call_request.h"
#include "decision/verdict.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace vanillashunt {

// A step in the handling of a call.
enum class call_decision : std::uint8_t {
    Attempt, // Sent to a target's node for the first time.
    Retry, // Sent again.
    AttemptFailed, // An attempt ended without an answer from a backend server.
    Rejected, // Not admitted to this node's backend server.
    Finished, // The caller got its final answer, or closed its connection.
};

std::string toString(call_decision);

// Inputs of a decision that do not come with the call itself.
struct decision_inputs {
    // Version of the operator's routes; 0 if the decision does not depend on them.
    std::int64_t version = 0;
    // The shedding cut that the call's position was compared with, and the age of this
    // information.
    shedding_position cut = 0;
    std::chrono::milliseconds cutAge { 0 };
};

// One step of a call, as reported to metrics, logs and the request journal. It refers to the
// caller's context, so observers must not keep it.
struct call_observation {
    call_decision decision;
    const request_context& context;
    std::chrono::steady_clock::time_point now;
    // Set with AttemptFailed, Rejected and Finished.
    verdict outcome {};
    // The target's name, or the message that the caller got.
    std::string detail {};
    // Set with Finished: whether the request entered the system at this node and is no onward
    // call, its HTTP status, and its duration.
    bool isEntryRequest = false;
    std::uint32_t status = 0;
    std::chrono::microseconds duration { 0 };
    decision_inputs inputs {};
};

// Whether a call was shed so that others can run.
bool isShed(verdict_reason);

using call_observer = std::function<void(const call_observation&)>;

}
