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

// All of them are called on the thread of the sockets.
struct membership_hooks {
    // Called with each change of what this node knows of the members.
    std::function<void(member_list)> membersChanged {};
    // What this node has of that which all are to know; goes with each datagram.
    std::function<document_versions()> ownVersions {};
    // Called with the versions in each datagram from a known member.
    std::function<void(const member&, const document_versions&)> peerVersions {};
};

// Keeps what this node knows of the other nodes, and lets them know of this one:
// the narrow face of the actor that owns it.
class membership_service {
public:
    // The host, the context and the store outlive the service. The addresses are
    // of peers to join besides the seeds in the store.
    membership_service(actor_host&, boost::asio::io_context&, metadata_store&, std::string meshName, std::vector<std::string> joinAddresses, membership_hooks);
    ~membership_service();

    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    // Starts with the own entry; its addresses are as advertised. Gossip is bound
    // to the listen address, which is the peer port's. Throws
    // boost::system::system_error if it cannot be bound.
    void start(const member& self, const std::string& listenAddress);

    // Lets the others know of a change of the own entry at once: service, slots,
    // operator address or state. After the state Left the node falls silent.
    void setSelf(const member& self);

    // Pushes at once, since one of the own versions has risen.
    void spreadSoon();

    // The store has come back from an earlier copy.
    void storeReturned();

    // What came of a call to a member: whether anything came back. Counts towards
    // whether its availability zone can be reached.
    void callEnded(std::uint64_t memberId, bool answered);

    // Ends the actor; nothing comes from it any more.
    void stop();

    // Calls the receiver with the members, their states and the counts.
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
