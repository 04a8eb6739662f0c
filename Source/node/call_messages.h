#pragma once

#include "backend/backend_announcement.h"
#include "call/call_answer.h"
#include "call/call_intake.h"
#include "call/call_request.h"
#include "caller/caller_request.h"
#include "contract/contract.h"
#include "decision/member.h"
#include "http/http_server.h"
#include "peer/peer_server.h"
#include "store/claim_store.h"

#include <caf/allowed_unsafe_message_type.hpp>
#include <json/value.h>

#include <functional>
#include <memory>

namespace vanillashunt {

// The messages that call_actor handles. They never leave the process.

struct caller_arrived {
    caller_request request;
    std::shared_ptr<http_exchange> exchange;
};

struct caller_left {
    std::uint64_t callId;
};

struct peer_call_arrived {
    call_request request;
    std::shared_ptr<peer_exchange> exchange;
};

struct peer_call_cancelled {
    std::uint64_t arrivalId;
};

struct attempt_answered {
    std::uint64_t attemptId;
    call_answer answer;
};

struct run_answered {
    std::uint64_t runId;
    call_answer answer;
};

struct claim_answered {
    std::uint64_t callId;
    claim_result result;
};

struct members_changed {
    member_list members;
};

struct contracts_changed {
    contract_snapshot contracts;
};

struct backend_announced {
    backend_announcement announcement;
};

struct backend_withdrawn {
};

// Tells whether to refuse new calls.
struct drain_changed {
    bool draining;
};

// Changes which requests are accepted from callers.
struct intake_changed {
    call_intake intake;
};

// Requests that every caller is answered now and that no more calls are accepted; done is called afterwards.
struct end_calls_requested {
    std::function<void()> done;
};

// Requests the number of inbound and outbound calls in progress.
struct progress_requested {
    std::function<void(std::size_t inbound, std::size_t outbound)> receiver;
};

struct clock_tick {
};

// Requests the actor's part of the dump.
struct state_requested {
    std::function<void(const Json::Value&)> receiver;
};

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::caller_arrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::caller_left)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::peer_call_arrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::peer_call_cancelled)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::attempt_answered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::run_answered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::claim_answered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::members_changed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::contracts_changed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::backend_announced)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::backend_withdrawn)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::drain_changed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::intake_changed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::end_calls_requested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::progress_requested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::clock_tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(vanillashunt::state_requested)
