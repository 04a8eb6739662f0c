#pragma once

#include "decision/member.h"
#include "operator/operator_port.h"
#include "operator/peer_rpc.h"
#include "platform/key_value_store.h"
#include "routes/route_configuration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace vanillashunt {

struct route_watch_hooks {
    // Called with each newer version; versions only ever rise.
    std::function<void(route_snapshot)> changed;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
};

// Calls since the start, by kind.
struct route_watch_counts {
    std::uint64_t reads = 0;
    std::uint64_t waits = 0;
    std::uint64_t failures = 0;
    std::uint64_t peerFetches = 0;
    std::uint64_t unreadable = 0;
};

// Keeps the newest version of the operator's routes that this node has seen. A few
// nodes of each availability zone wait for changes at the store; the others hear
// of a version by gossip and fetch it from whoever told them.
class route_watch {
public:
    // The store and the client outlive the watch.
    route_watch(boost::asio::io_context&, key_value_store&, peer_rpc&, std::uint64_t selfId, std::string availabilityZone, route_watch_hooks);

    void start();
    void setMembers(const member_list&);

    // A member told the version that it has.
    void peerVersion(const member&, std::int64_t version);

    // 0 while none is known.
    std::int64_t version() const { return m_version; }

    // The document of the version in force, for a peer that has an older one.
    Json::Value newsSince(std::int64_t version) const;

    Json::Value dump() const;

private:
    bool isWatcher() const;
    void step();
    void readStore();
    void waitAtStore();
    void failed(const std::string& why);
    void answered();
    bool take(const std::string& document);
    void fetchFrom(const std::string& operatorAddress);

    boost::asio::steady_timer m_timer;
    key_value_store& m_store;
    peer_rpc& m_peers;
    std::uint64_t m_selfId;
    std::string m_zone;
    route_watch_hooks m_hooks;
    member_list m_members;
    std::int64_t m_version = 0;
    std::string m_document;
    // Where the next wait goes on; 0 if the store is to be read first.
    std::int64_t m_storeRevision = 0;
    bool m_calling = false;
    bool m_fetching = false;
    bool m_readOnce = false;
    std::uint32_t m_failuresInARow = 0;
    std::chrono::steady_clock::time_point m_lost;
    std::chrono::steady_clock::time_point m_nextCall;
    route_watch_counts m_counts;
};

}
