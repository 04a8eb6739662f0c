#pragma once

#include "contract/contract_replica.h"
#include "decision/document_freshness.h"
#include "decision/member.h"
#include "operator/peer_rpc.h"
#include "store/store_client.h"
#include "store/store_watch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

struct configuration_hooks {
    // Called with each newer set of contracts; the revision never decreases.
    std::function<void(contract_snapshot)> contractsChanged;
    // Returns a random number below the bound.
    std::function<std::uint64_t(std::uint64_t bound)> randomBelow;
    // Called when the store answers again after failed reads. Optional.
    std::function<void()> storeRecovered {};
};

// How to reach the store, and this node's identity.
struct configuration_settings {
    std::vector<std::string> endpoints;
    std::string outgoingAddress;
    std::string availabilityZone;
    std::uint64_t selfId = 0;
};

// Calls to the store and to peers since the start, by kind.
struct configuration_counts {
    std::uint64_t ranges = 0;
    std::uint64_t watches = 0;
    std::uint64_t peerFetches = 0;
    // Reads by a node that was told nothing recent; counted in ranges, too.
    std::uint64_t staleReads = 0;
};

// Keeps the newest contracts that this node has seen. A few nodes of each
// availability zone watch the store. The others learn of a new revision by
// gossip and fetch the missing contracts from the member that announced it. The
// load on the store therefore does not grow with the number of nodes, and
// contracts still spread while the store is down. A node that is told nothing
// recent reads the store itself, whatever keeps the watchers from it.
class configuration_service {
public:
    // The io_context, the store and the RPC client outlive the service.
    configuration_service(boost::asio::io_context&, store_client&, peer_rpc&, configuration_settings, configuration_hooks);

    void start();

    // The members determine whether this node watches the store.
    void setMembers(const member_list&);

    // Handles the contract revision that a member has announced by gossip, and how long ago the store
    // confirmed it.
    void handlePeerRevision(const member&, std::int64_t revision, const std::optional<std::chrono::milliseconds>& age);

    // Time since the store confirmed the contracts here, to this node or to one that told it.
    std::optional<std::chrono::milliseconds> age() const;

    contract_snapshot contracts() const { return m_book.contracts(); }
    std::int64_t revision() const { return m_book.revision(); }

    // Returns the answer of the RPC method contracts_since.
    Json::Value updateSince(std::int64_t revision) const;

    // Returns this service's part of the dump.
    Json::Value dump() const;

private:
    bool take(const contract_update&);
    void schedulePoll(std::chrono::milliseconds);
    void poll();
    bool isStoreWatcher() const;
    void readStore();
    void readIfStale();
    void startWatch(std::int64_t fromRevision);
    void storeFailed(const std::string& reason);
    void fetchFrom(const std::string& operatorAddress);
    void catchUpFromPeer();
    std::chrono::milliseconds withJitter(std::chrono::milliseconds) const;

    boost::asio::io_context& m_context;
    store_client& m_store;
    peer_rpc& m_peers;
    configuration_settings m_settings;
    configuration_hooks m_hooks;
    boost::asio::steady_timer m_timer;
    contract_replica m_book;
    member_list m_members;
    std::unique_ptr<store_watch> m_watch;
    // Whether the watch has ended. poll() destroys it, since it must not be destroyed in its own callback.
    bool m_watchEnded = false;
    std::size_t m_nextEndpoint = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::string m_lastFailure;
    bool m_fetching = false;
    bool m_hasReadStore = false;
    std::chrono::steady_clock::time_point m_nextRead;
    // By the boot clock, as the two members below.
    document_freshness m_freshness;
    std::chrono::steady_clock::time_point m_lastPoll;
    // Messages that are handled before may have arrived long ago, while this process was paused.
    std::chrono::steady_clock::time_point m_heedsAgesFrom;
    configuration_counts m_counts;
};

}
