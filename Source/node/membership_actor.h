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

// What the membership actor is made of; all of it outlives the actor.
struct membership_actor_parts {
    actor_host* host = nullptr;
    boost::asio::io_context* context = nullptr;
    metadata_store* store = nullptr;
    std::string listenAddress;
    std::string meshName;
    std::vector<std::string> joinAddresses;
    membership_hooks hooks;
    member self;
};

// Owns the members that this node knows, its gossip socket and its part in
// keeping the seeds; publishes a snapshot of the members when they change.
class membership_actor : public caf::event_based_actor {
public:
    // Throws boost::system::system_error if the gossip address cannot be bound.
    membership_actor(caf::actor_config&, membership_actor_parts);

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

    membership_actor_parts m_parts;
    std::mt19937_64 m_random;
    gossip_socket m_socket;
    gossip_protocol m_protocol;
    seed_keeper m_seeds;
    std::uint64_t m_published = 0;
    std::chrono::steady_clock::time_point m_lastPublished;
    bool m_superseded = false;
};

}
