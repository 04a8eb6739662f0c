#pragma once

#include "membership/gossip_protocol.h"
#include "node/actor_host.h"
#include "node/membership_service.h"
#include "node/seed_keeper.h"
#include "peer/gossip_socket.h"

#include <caf/event_based_actor.hpp>
#include <json/value.h>

#include <random>

namespace vanillashunt {

// Constructor parameters of membership_actor. The objects pointed to outlive the actor.
struct membership_actor_parameters {
    actor_host* host = nullptr;
    boost::asio::io_context* context = nullptr;
    metadata_store* store = nullptr;
    std::string listenAddress;
    std::string meshName;
    std::vector<std::string> joinAddresses;
    membership_hooks hooks;
    member self;
};

// Owns the table of members that this node knows, its gossip socket and its seed
// keeper. Publishes a snapshot of the members when they change.
class membership_actor : public caf::event_based_actor {
public:
    // Throws boost::system::system_error if the gossip address cannot be bound.
    membership_actor(caf::actor_config&, membership_actor_parameters);

    caf::behavior make_behavior() override;

private:
    gossip_hooks gossipHooks();
    seed_keeper_hooks seedHooks();
    void seedsRead(const std::vector<std::string>& addresses);
    seed_duty seedDuty(std::chrono::steady_clock::time_point now) const;
    void tick();
    void publish(std::chrono::steady_clock::time_point now);
    void superseded();
    Json::Value dump() const;

    membership_actor_parameters m_parameters;
    std::mt19937_64 m_random;
    gossip_socket m_socket;
    gossip_protocol m_protocol;
    seed_keeper m_seedKeeper;
    std::uint64_t m_publishedChanges = 0;
    std::chrono::steady_clock::time_point m_lastPublished;
    bool m_superseded = false;
};

}
