#pragma once

#include "contract/contract_replica.h"
#include "decision/member.h"
#include "operator/peer_rpc.h"
#include "store/store_client.h"
#include "store/store_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillashunt {

struct configuration_hooks {
    // Called with each newer set of contracts; the revision only ever rises.
    std::function<void(contract_snapshot)> contractsChanged;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
};

// Where the store is, and how this node reaches it.
struct configuration_settings {
    std::vector<std::string> endpoints;
    std::string outgoingAddress;
    std::string availabilityZone;
    std::uint64_t selfId = 0;
};

// Store calls since the start, by kind.
struct configuration_counts {
    std::uint64_t ranges = 0;
    std::uint64_t watches = 0;
    std::uint64_t peerFetches = 0;
};

// Keeps the newest contracts that this node has seen. A few nodes of each
// availability zone watch the store; the others learn a new revision from
// gossip and fetch what they lack from whoever told them, so that the store's
// calls do not grow with the fleet, and nobody needs the store while it is down.
class configuration_service {
public:
    // The store and the client outlive the service.
    configuration_service(boost::asio::io_context&, store_client&, peer_rpc&, configuration_settings, configuration_hooks);

    void start();

    // Whether this node is to watch the store follows from the members.
    void setMembers(const member_list&);

    // A member told its revision.
    void peerRevision(const member&, std::int64_t revision);

    contract_snapshot contracts() const { return m_book.contracts(); }
    std::int64_t revision() const { return m_book.revision(); }

    // What the method contracts_since answers.
    Json::Value newsSince(std::int64_t revision) const;

    // Its part of the dump.
    Json::Value dump() const;

private:
    bool take(const contract_update&);
    void scheduleStep(std::chrono::milliseconds);
    void step();
    bool isDutyWatcher() const;
    void readStore();
    void startWatch(std::int64_t fromRevision);
    void storeFailed(const std::string& why);
    void fetchFrom(const std::string& operatorAddress);
    void catchUpFromPeer();
    std::chrono::milliseconds spread(std::chrono::milliseconds) const;

    boost::asio::io_context& m_context;
    store_client& m_store;
    peer_rpc& m_peers;
    configuration_settings m_settings;
    configuration_hooks m_hooks;
    boost::asio::steady_timer m_timer;
    contract_replica m_book;
    member_list m_members;
    std::unique_ptr<store_watch> m_watch;
    // The watch ended; it is let go outside of its own call.
    bool m_watchEnded = false;
    std::size_t m_nextEndpoint = 0;
    std::uint32_t m_failuresInRow = 0;
    std::string m_lastFailure;
    bool m_fetching = false;
    bool m_readOnce = false;
    std::chrono::steady_clock::time_point m_nextRead;
    configuration_counts m_counts;
};

}
