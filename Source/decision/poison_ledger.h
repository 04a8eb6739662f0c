#pragma once

#include "decision/request_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// What is known of a request content that was running at servers when they crashed or exited.
struct poison_record {
    request_fingerprint content;
    // Hashes that identify the starts of those servers, each once; at most
    // `poisonThreshold`.
    std::vector<std::uint64_t> ends;
    // Whether a server has served it nevertheless: it ends no servers.
    bool served = false;
    // Time of the last end, by the clock of that server's node.
    std::chrono::system_clock::time_point lastEnd;
    // The version of the shared document that contains the record as it is; 0 if none does.
    std::int64_t version = 0;
};

// Number of servers that must end while running a content before it counts as poison. An
// innocent request that shared a server with poison sees one end, or two if it is repeated;
// a third is no coincidence, and the users' requirements count from the third, too.
constexpr std::size_t poisonThreshold = 3;

// Whether a content is poison, judged by the servers that ended while running it.
enum class poison_status : std::uint8_t {
    Harmless, // No server has ended while running it, or one has served it.
    Suspect, // Some have, but too few to tell it from an innocent request that ran beside poison.
    NearlyPoison, // One more end makes it poison.
    Poison, // It must not reach any server.
};

// How long a content is remembered after the last end. Senders repeat a request for
// minutes at most, and once an operator has fixed the servers, the content is accepted
// again after this time at the latest.
constexpr std::chrono::minutes poisonRetention { 60 };

// Records the requests that crash the servers which run them. Requests are identified by
// content and not by id, so that every node recognises a copy. All copies of a request
// share one record. Records of different nodes are merged by union, in any order and any
// number of times, so that the nodes need no consensus.
//
// Servers also end for other reasons, while innocent requests are in progress. Unlike those,
// poison is never served: one success at any server clears a content.
class poison_ledger {
public:
    using wall_time = std::chrono::system_clock::time_point;

    // A server ended that had started to run these contents.
    void serverEnded(std::uint64_t startHash, const std::vector<request_fingerprint>& contents, wall_time now);

    // A server has served a request with the content; returns whether that is new information.
    bool served(request_fingerprint);

    poison_status statusOf(request_fingerprint, wall_time now) const;

    // Whether any server has ended while running it; for most contents none has.
    bool has(request_fingerprint content) const { return m_records.count(content) != 0; }

    // Number of contents that are poison.
    std::size_t poisonCount(wall_time now) const;

    // Merges records of other nodes; returns whether they changed anything here.
    bool merge(const std::vector<poison_record>&, wall_time now);

    // All changes of the shared document up to the version have been merged.
    void markSyncedTo(std::int64_t version);
    // The version merged last; 0 before the first.
    std::int64_t version() const { return m_version; }

    // Takes the content of the shared document after the store was restored from a backup or
    // written by a node that knew less. Records that the document lacks count as unshared again.
    void reconcileWithStored(const std::vector<poison_record>&);

    // Whether there are records that the shared document does not contain, and which.
    bool hasUnshared(wall_time now) const;
    std::vector<poison_record> unshared(wall_time now) const;

    // All records that have not expired, for a document of the version.
    std::vector<poison_record> document(std::int64_t version, wall_time now) const;

    // Records that changed in the shared document after the version.
    std::vector<poison_record> since(std::int64_t version, wall_time now) const;

    std::size_t size() const { return m_records.size(); }

private:
    static bool isExpired(const poison_record&, wall_time now);
    static poison_status statusOf(const poison_record&, wall_time now);
    std::vector<poison_record> recordsWhere(const std::function<bool(const poison_record&)>&, wall_time now) const;
    void prune(wall_time now);

    std::unordered_map<request_fingerprint, poison_record> m_records;
    std::int64_t m_version = 0;
};

}
