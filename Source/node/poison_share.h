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
    // What is known has a newer version, of which the others are to hear at once.
    std::function<void()> changed;
    // Returns a random number below its argument.
    std::function<std::uint64_t(std::uint64_t bound)> chance;
    // The time of day.
    std::function<std::chrono::system_clock::time_point()> wallNow;
};

// This node's poison ledger, and the document in the platform's store by which all nodes
// share theirs: so a content is known again after every process was killed, and in zones
// that only the store connects. Who saw an end tells the first of its zone's nodes that follow
// the document, which gathers what several saw together, and writes it; where that one does not
// do so, the witness does. A node that does not reach the store tells some others, which tell on.
class replicated_poison_ledger {
public:
    // The store and the client outlive it.
    replicated_poison_ledger(boost::asio::io_context&, key_value_store&, peer_rpc&, std::uint64_t selfId, std::string availabilityZone, replicated_poison_ledger_hooks);

    void start() { m_watched.start(); }
    void setMembers(const member_list&);
    void peerVersion(const member& peer, std::int64_t version) { m_watched.peerVersion(peer, version); }

    // The store may have been away: what was missed is read, what is owed is written.
    void storeBack();

    // The store has come back from an earlier copy: whoever writes for its zone writes again what
    // is missing there.
    void storeReturned();

    // The server beside this node ended under requests.
    void serverEnded(const server_end&);

    // That server has served a request of the content.
    void served(request_fingerprint);

    poison_status standingOf(request_fingerprint content) const
    {
        return m_ledger.has(content) ? m_ledger.statusOf(content, m_hooks.wallNow()) : poison_status::Harmless;
    }

    // Contents that are poison.
    std::size_t poisonCount() const { return m_ledger.poisonCount(m_hooks.wallNow()); }

    std::int64_t version() const { return m_ledger.version(); }

    // A node that does not reach the store tells what it owes, to be written from here.
    // Nothing comes of what no node has written.
    void told(const Json::Value& document);

    // What a peer that has the version lacks.
    Json::Value newsSince(std::int64_t version) const;

    Json::Value dump() const;

private:
    watched_document_hooks watchedHooks();
    void take(const poison_document&);
    void takeStored(const store_entry&);
    void save();
    bool isCollector() const { return m_watched.firstWatcher() == m_selfId; }
    void tellCollector();
    void readAndWrite();
    void write();
    void conflicted(const store_swap&);
    void saveFailed();
    Json::Value owed() const;
    void tellPeers();
    void saveAfter(std::chrono::milliseconds);
    void later(std::chrono::milliseconds, std::function<void()> step);

    key_value_store& m_store;
    peer_rpc& m_peers;
    std::uint64_t m_selfId;
    replicated_poison_ledger_hooks m_hooks;
    member_list m_members;
    poison_ledger m_ledger;
    boost::asio::steady_timer m_saveTimer;
    // Whether a write of this node is under way, or waits for its time.
    bool m_saving = false;
    // Whether this node has itself seen what the document does not have yet.
    bool m_isWitness = false;
    // The revision that the next write is to follow; nothing while that is not known.
    std::optional<std::int64_t> m_revision;
    // How often what was told is still to be told on.
    std::uint32_t m_roundsLeft = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_writesFailed = 0;
    std::uint32_t m_failuresInARow = 0;
    std::uint64_t m_peersTold = 0;
    watched_document m_watched;
};

}
