#pragma once

#include "backend/backend_client.h"
#include "node/actor_host.h"
#include "node/call_messages.h"
#include "node/inbound_calls.h"
#include "node/outbound_calls.h"
#include "peer/peer_client.h"

#include <caf/event_based_actor.hpp>

#include <unordered_map>

namespace vanillashunt {

// What the call actor is made of; all of it outlives the actor.
struct call_actor_parts {
    actor_host* host = nullptr;
    peer_client* peers = nullptr;
    backend_client* backend = nullptr;
    claim_store* claims = nullptr;
    std::function<std::uint64_t()> random;
    // Told of each attempt at another member, and whether anything came back.
    std::function<void(std::uint64_t memberId, bool answered)> callEnded;
    // Told of each call that the backend server answered.
    std::function<void()> backendAnswered;
    // Told of each step of each call.
    call_observer observed;
    admission_policy policy = admission_policy::Full;
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point started;
    node_location place;
};

// Owns the calls in progress of one node, in both directions, and turns the
// decisions of inbound_calls and outbound_calls into messages on the sockets.
class call_actor : public caf::event_based_actor {
public:
    call_actor(caf::actor_config&, call_actor_parts);

    caf::behavior make_behavior() override;

private:
    inbound_hooks inboundHooks();
    admission_settings admissionSettings() const;
    outbound_hooks outboundHooks();
    void callerArrived(const caller_arrived&);
    void peerCallArrived(const peer_call_arrived&);
    void sendAttempt(std::uint64_t attemptId, const member&, const call_request&);
    void cancelAttempt(std::uint64_t attemptId);
    void runAtBackend(std::uint64_t runId, const std::string& address, const call_request&);
    void cancelRun(std::uint64_t runId);
    void observeRejection(const request_context&, const call_answer&) const;
    void tick();
    Json::Value dump() const;

    // Sends a message to this actor from a socket's handler.
    template <typename Message>
    void sendSelf(Message message);

    call_actor_parts m_parts;
    inbound_calls m_inbound;
    outbound_calls m_outbound;
    // What each attempt or run is called by the client that carries it.
    std::unordered_map<std::uint64_t, std::uint64_t> m_peerCallOfAttempt;
    std::unordered_map<std::uint64_t, std::uint64_t> m_arrivalOfOwnAttempt;
    std::unordered_map<std::uint64_t, std::uint64_t> m_backendCallOfRun;
};

}
