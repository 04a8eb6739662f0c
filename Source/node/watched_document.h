#pragma once

#include "decision/member.h"
#include "operator/peer_rpc.h"
#include "platform/key_value_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillashunt {

// Which document it is, and how closely it is followed.
struct watched_document_terms {
    // Its key in the platform's store.
    std::string key;
    // The method of another node's operator port that tells what is newer than a version.
    std::string peerMethod;
    // Whether each node reads it once when it starts, or only those that wait for changes.
    bool everyNodeReads = true;
    // From the start of the process to the first call. Where not every node reads, members
    // have to be known first, since a node that knows nobody follows the document itself.
    std::chrono::milliseconds firstCall { 0 };
    // A wait at the store lasts between this and this plus the spread. One on which the store
    // has gone silent costs its whole length; a shorter one costs calls.
    std::chrono::milliseconds shortestWait { 2500 };
    std::chrono::milliseconds waitSpread { 1500 };
};

struct watched_document_hooks {
    // The version that this node has; 0 while it has none.
    std::function<std::int64_t()> version;
    // What the store has under the key.
    std::function<void(const store_entry&)> stored;
    // What another node has told.
    std::function<void(const Json::Value&)> told;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
    // The store does not answer any more, and answers again after a time.
    std::function<void(const std::string& why)> lost;
    std::function<void(std::chrono::milliseconds away)> back;
};

// Calls since the start, by kind.
struct watched_document_counts {
    std::uint64_t reads = 0;
    std::uint64_t waits = 0;
    std::uint64_t failures = 0;
    std::uint64_t peerFetches = 0;
};

// Follows one versioned document of the platform's store, so that the store's calls do not
// grow with the fleet: a few nodes of each availability zone wait for its changes there; the
// others hear of a version by gossip and fetch it from whoever told them.
class watched_document {
public:
    // The store and the client outlive it.
    watched_document(boost::asio::io_context&, key_value_store&, peer_rpc&, std::uint64_t selfId, std::string availabilityZone, watched_document_terms, watched_document_hooks);

    void start();
    void setMembers(const member_list&);

    // A member told the version that it has.
    void peerVersion(const member&, std::int64_t version);

    // Reads the store soon, whatever is under way there, if this node follows it.
    void readAgain();

    // The store has come back from an earlier copy: no revision of it holds any more. A wait
    // that is under way is ended, and the document read anew, not by all at the same moment.
    void storeReturned();

    // The first of the nodes of this zone that wait for changes.
    std::uint64_t firstWatcher() const;

    Json::Value dump() const;

private:
    std::vector<std::uint64_t> candidates() const;
    bool isWatcher() const;
    void step();
    void readStore();
    void waitAtStore();
    void failed(const std::string& why);
    void answered();
    void fetchFrom(const std::string& operatorAddress);

    boost::asio::steady_timer m_timer;
    key_value_store& m_store;
    peer_rpc& m_peers;
    std::uint64_t m_selfId;
    std::string m_zone;
    watched_document_terms m_terms;
    watched_document_hooks m_hooks;
    member_list m_members;
    // Where the next wait goes on; 0 if the store is to be read first.
    std::int64_t m_storeRevision = 0;
    bool m_calling = false;
    // Answers to calls of an earlier turn are dropped.
    std::uint64_t m_turn = 0;
    bool m_fetching = false;
    bool m_readOnce = false;
    std::uint32_t m_failuresInARow = 0;
    std::chrono::steady_clock::time_point m_lost;
    std::chrono::steady_clock::time_point m_nextCall;
    watched_document_counts m_counts;
};

}
