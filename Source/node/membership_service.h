#pragma once

#include "decision/member.h"
#include "membership/gossip_message.h"
#include "node/actor_host.h"
#include "store/metadata_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillashunt {

// The hooks are called on the thread of the io_context.
struct membership_hooks {
    // Called with a new snapshot after the members or their states have changed.
    std::function<void(member_list)> membersChanged {};
    // Returns the versions of the shared documents that this node has; sent with each datagram.
    std::function<document_versions()> ownVersions {};
    // Called with the versions in each datagram from a known member.
    std::function<void(const member&, const document_versions&)> peerVersions {};
};

// Keeps the list of members, and announces this node to them. A thin interface to
// membership_actor, which owns the state.
class membership_service {
public:
    // The host, the io_context and the store outlive the service. joinAddresses are
    // peers to contact in addition to the seeds in the store.
    membership_service(actor_host&, boost::asio::io_context&, metadata_store&, std::string meshName, std::vector<std::string> joinAddresses, membership_hooks);
    ~membership_service();

    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    // Starts gossip with the entry of this node, which holds its advertised addresses.
    // The gossip socket is bound to listenAddress, the address of the peer port. Throws
    // boost::system::system_error if the address cannot be bound.
    void start(const member& self, const std::string& listenAddress);

    // Announces a change of this node's entry at once: service, slots, operator
    // address or state. The node sends nothing more after the state Left.
    void setSelf(const member& self);

    // Gossips without waiting for the next round, since one of the own versions has increased.
    void spreadSoon();

    // Reads the seeds soon if this node keeps one or is alone: the store answers again after an outage, or was
    // restored from an earlier copy of its data.
    void readSeedsSoon();

    // Reports whether a member responded to a call. Used to determine whether its
    // availability zone is reachable.
    void callEnded(std::uint64_t memberId, bool answered);

    // Terminates the actor. No hook is called once it has ended.
    void stop();

    // Calls the receiver with the members, their states and the counters.
    void dump(std::function<void(const Json::Value&)> receiver) const;

private:
    void tick();

    template <typename Message>
    void sendActor(Message&& message) const;

    actor_host& m_host;
    boost::asio::io_context& m_context;
    metadata_store& m_store;
    std::string m_meshName;
    std::vector<std::string> m_joinAddresses;
    membership_hooks m_hooks;
    boost::asio::steady_timer m_timer;
    caf::actor m_actor;
};

}
