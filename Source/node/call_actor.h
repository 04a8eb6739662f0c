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

// Constructor parameters of call_actor. The objects pointed to outlive the actor.
struct call_actor_parameters {
    actor_host* host = nullptr;
    peer_client* peers = nullptr;
    backend_client* backend = nullptr;
    claim_store* claims = nullptr;
    std::function<std::uint64_t()> random;
    // Called when an attempt at a member has ended; answered tells whether the member responded.
    std::function<void(std::uint64_t memberId, bool answered)> attemptEnded;
    // Called for each call that the backend server answered.
    std::function<void()> backendAnswered;
    // Called for each step of each call.
    call_observer observed;
    admission_policy policy = admission_policy::Full;
    std::uint64_t incarnation = 0;
    std::chrono::steady_clock::time_point started;
    node_location location;
};

// Owns the inbound and outbound calls in progress of one node, and carries out the
// decisions of inbound_calls and outbound_calls by sending messages on the sockets.
class call_actor : public caf::event_based_actor {
public:
    call_actor(caf::actor_config&, call_actor_parameters);

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

    // Sends a message to this actor from a socket's completion handler.
    template <typename Message>
    void sendSelf(Message message);

    call_actor_parameters m_parameters;
    inbound_calls m_inbound;
    outbound_calls m_outbound;
    // Map the id of an attempt or run to the id that its client or inbound_calls uses for it.
    std::unordered_map<std::uint64_t, std::uint64_t> m_peerCallByAttempt;
    std::unordered_map<std::uint64_t, std::uint64_t> m_arrivalByLocalAttempt;
    std::unordered_map<std::uint64_t, std::uint64_t> m_backendCallByRun;
};

}
