#pragma once

#include "decision/document_freshness.h"
#include "decision/member.h"
#include "operator/peer_rpc.h"
#include "platform/key_value_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// Selects a document and how it is watched.
struct watched_document_options {
    // The document's key in the platform's store.
    std::string key;
    // Method of the operator port that returns the changes since a version.
    std::string peerMethod;
    // Whether every node reads the document once at its start, or only the watchers do.
    bool readOnEveryNode = true;
    // Time from the start of the process to the first call. If only the watchers read, the
    // members have to be known first, since a node without members acts as a watcher.
    std::chrono::milliseconds firstCallDelay { 0 };
    // A wait at the store lasts between minWait and minWait + waitJitter. If the store stops
    // answering during a wait, this is noticed only when the wait ends; shorter waits cost more
    // calls.
    std::chrono::milliseconds minWait { 2500 };
    std::chrono::milliseconds waitJitter { 1500 };
    // When a node that was told nothing recent reads the document itself. Without it, only the watchers read.
    std::optional<freshness_settings> freshness {};
};

struct watched_document_hooks {
    // Returns this node's version of the document; 0 if it has none.
    std::function<std::int64_t()> version;
    // Called with the entry that the store has under the key.
    std::function<void(const store_entry&)> readFromStore;
    // Called with the changes that another node returned.
    std::function<void(const Json::Value&)> fetchedFromPeer;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> randomBelow;
    // Called when calls to the store begin to fail.
    std::function<void(const std::string& reason)> storeFailed;
    // Called when the store answers again.
    std::function<void(std::chrono::milliseconds outage)> storeRecovered;
    // Called when this node reads the store again since no other node has told it anything recent after its last
    // such read: it is cut off from them. Optional.
    std::function<void()> readWhileCutOff {};
    // Called when nothing recent has been known for too long, with the age of what is known, and when something
    // is again, with the time for which nothing was. Optional.
    std::function<void(std::chrono::milliseconds age)> outdated {};
    std::function<void(std::chrono::milliseconds duration)> upToDate {};
};

// Calls since the process started, by kind.
struct watched_document_counts {
    std::uint64_t reads = 0;
    std::uint64_t waits = 0;
    std::uint64_t failures = 0;
    std::uint64_t peerFetches = 0;
    // Reads by a node that was told nothing recent; counted in reads, too.
    std::uint64_t staleReads = 0;
};

// Watches one versioned document in the platform's store. To keep the number of store calls
// independent of the number of nodes, only a few watchers in each availability zone wait for
// changes at the store. The other nodes learn of a new version by gossip and fetch it from the
// node that announced it. Members announce besides how long ago the store confirmed their version.
// A node that is told nothing recent reads the store itself, whatever the cause: watchers that
// are gone, frozen, cut off or turned away by the store, or this node cut off from the others.
class watched_document {
public:
    // The store and the RPC client have to outlive this object.
    watched_document(boost::asio::io_context&, key_value_store&, peer_rpc&, std::uint64_t selfId, std::string availabilityZone, watched_document_options, watched_document_hooks);

    void start();
    void setMembers(const member_list&);

    // Called when a member announces the version that it has, and how long ago the store confirmed it.
    void peerVersion(const member&, std::int64_t version, const std::optional<std::chrono::milliseconds>& age);

    // Time since the store confirmed the version here, to this node or to one that told it.
    std::optional<std::chrono::milliseconds> age() const;

    // Reads the document from the store, in addition to any call in progress, if this node is a
    // watcher.
    void readAgain();

    // The same whether or not this node is a watcher.
    void readNow();

    // Called when the store was restored from an earlier copy, which invalidates all its
    // revisions. Abandons the call in progress and reads the document again after a random delay,
    // so that the watchers do not read at the same time.
    void storeReturned();

    // The first watcher of this zone, by rendezvous hashing.
    std::uint64_t firstWatcher() const;

    Json::Value dump() const;

private:
    std::vector<std::uint64_t> watcherCandidates() const;
    bool isWatcher() const;
    void step();
    std::chrono::milliseconds untilNextStep() const;
    void readStore();
    void waitAtStore();
    void readIfStale();
    void noticePause(std::chrono::steady_clock::time_point now);
    void reportFreshness(std::chrono::steady_clock::time_point now);
    void callFailed(const std::string& reason);
    void callSucceeded();
    void fetchFrom(const std::string& operatorAddress);

    boost::asio::steady_timer m_timer;
    key_value_store& m_store;
    peer_rpc& m_peers;
    std::uint64_t m_selfId;
    std::string m_zone;
    watched_document_options m_options;
    watched_document_hooks m_hooks;
    member_list m_members;
    // Store revision from which the next wait continues; 0 if the document has to be read first.
    std::int64_t m_storeRevision = 0;
    bool m_calling = false;
    // Answers to calls of an earlier generation are dropped.
    std::uint64_t m_generation = 0;
    bool m_fetching = false;
    bool m_readOnce = false;
    std::uint32_t m_failuresInARow = 0;
    std::chrono::steady_clock::time_point m_failingSince;
    std::chrono::steady_clock::time_point m_nextCall;
    // By the boot clock, as the members below.
    document_freshness m_freshness;
    std::chrono::steady_clock::time_point m_lastStep;
    // Messages that are handled before may have arrived long ago, while this process was paused.
    std::chrono::steady_clock::time_point m_heedsAgesFrom;
    std::optional<std::chrono::steady_clock::time_point> m_outdatedSince;
    // Whether a member has told anything more recent since the last read for want of it.
    bool m_toldSinceRead = true;
    watched_document_counts m_counts;
};

}
