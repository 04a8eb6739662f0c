#pragma once

#include "backend/server_end_detector.h"
#include "decision/poison_ledger.h"
#include "node/poison_document.h"
#include "node/watched_document.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace vanillashunt {

struct replicated_poison_ledger_hooks {
    // Called when the version of the ledger has increased, to announce it to the other nodes.
    std::function<void()> changed;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> randomBelow;
    // Returns the wall-clock time.
    std::function<std::chrono::system_clock::time_point()> wallNow;
};

// This node's poison ledger, which all nodes replicate through a document in the platform's
// store. The document preserves the records when every process is killed, and carries them
// between zones that are connected only through the store.
//
// A node that observes the end of a server sends its records to the zone writer, the first
// watcher of the document in its zone, which batches the records of several nodes and writes
// them. If the zone writer does not, the observer writes them itself. A node that cannot reach
// the store sends its records to some peers, which forward them.
class replicated_poison_ledger {
public:
    // The store and the RPC client have to outlive this object.
    replicated_poison_ledger(boost::asio::io_context&, key_value_store&, peer_rpc&, std::uint64_t selfId, std::string availabilityZone, replicated_poison_ledger_hooks);

    void start() { m_watched.start(); }
    void setMembers(const member_list&);
    // Called when a member announces the version that it has.
    void peerVersion(const member& peer, std::int64_t version) { m_watched.peerVersion(peer, version, std::nullopt); }

    // Reads the document from the store. For a node that other nodes may not reach.
    void readStored() { m_watched.readNow(); }

    // Called when the store may have been unavailable: reads missed changes and writes unshared
    // records.
    void storeRecovered();

    // Called when the store was restored from an earlier copy: the zone writer writes the records
    // again that the copy lacks.
    void storeReturned();

    // Called when the local backend server terminated with requests in progress.
    void serverEnded(const server_end&);

    // Called when the local backend server has served a request with this content.
    void served(request_fingerprint);

    poison_status standingOf(request_fingerprint content) const
    {
        return m_ledger.has(content) ? m_ledger.statusOf(content, m_hooks.wallNow()) : poison_status::Harmless;
    }

    // Number of contents that are poison.
    std::size_t poisonCount() const { return m_ledger.poisonCount(m_hooks.wallNow()); }

    std::int64_t version() const { return m_ledger.version(); }

    // Merges the unshared records of a peer that cannot reach the store, so that this node writes
    // them. Ignores a malformed document.
    void mergeFromPeer(const Json::Value& document);

    // The records that a peer with that version lacks.
    Json::Value changesSince(std::int64_t version) const;

    Json::Value dump() const;

private:
    watched_document_hooks watchedHooks();
    void merge(const poison_document&);
    void mergeStored(const store_entry&);
    void save();
    bool isZoneWriter() const { return m_watched.firstWatcher() == m_selfId; }
    void sendToZoneWriter();
    void readAndWrite();
    void write();
    void writeConflicted(const store_swap&);
    void saveFailed();
    Json::Value unsharedDocument() const;
    void sendToPeers();
    void saveAfter(std::chrono::milliseconds);
    void runAfter(std::chrono::milliseconds, std::function<void()> action);

    key_value_store& m_store;
    peer_rpc& m_peers;
    std::uint64_t m_selfId;
    replicated_poison_ledger_hooks m_hooks;
    member_list m_members;
    poison_ledger m_ledger;
    boost::asio::steady_timer m_saveTimer;
    // Whether a write of this node is in progress or scheduled.
    bool m_saving = false;
    // Whether this node itself has observed something that the document lacks.
    bool m_hasUnsavedObservations = false;
    // The store revision that the next write expects; std::nullopt while it is unknown.
    std::optional<std::int64_t> m_revision;
    // Number of rounds in which records received from peers are still to be forwarded.
    std::uint32_t m_forwardRoundsLeft = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_writesFailed = 0;
    std::uint32_t m_failuresInARow = 0;
    std::uint64_t m_peersNotified = 0;
    watched_document m_watched;
};

}
