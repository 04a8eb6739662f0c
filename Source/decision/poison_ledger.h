#pragma once

#include "decision/request_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

// What is known of one content of requests under which servers have ended.
struct poison_record {
    request_fingerprint content;
    // The starts of those servers, each once, by a hash that names the start; no more
    // than `poisonThreshold`.
    std::vector<std::uint64_t> ends;
    // Whether a server has served it all the same: it ends no servers.
    bool served = false;
    // Of the last end, by the clock of the node beside that server.
    std::chrono::system_clock::time_point lastEnd;
    // The version of the shared document that has the record as it is; 0 if none has.
    std::int64_t version = 0;
};

// Servers that end under a content before it is taken for poison. An innocent request that
// shared a server with poison comes to one end, or two if it is repeated; a third of the same
// content is no coincidence any more, and is what the users' rule counts from.
constexpr std::size_t poisonThreshold = 3;

// What servers' ends say of a content.
enum class poison_status : std::uint8_t {
    Harmless, // No server has ended under it, or one has served it.
    Suspect, // Some have, too few to tell it from an innocent request beside poison.
    NearlyPoison, // One more end makes it poison.
    Poison, // It is to reach no server any more.
};

// For how long a content is remembered after the last end. Whoever sends it goes on for
// minutes at most; an operator who has mended the servers waits no longer than this.
constexpr std::chrono::minutes poisonRetention { 60 };

// Knows the requests that end the servers which run them, by what they ask for and not by
// their ids, so that a copy is known again at whichever node it comes in. Copies of one
// request are one record; records of all nodes are joined by union, in any order and any
// number of times, so that nobody has to agree on anything.
//
// Servers end of other causes, too, with innocent requests in progress. What tells them
// apart is that poison is never served: one success at any server clears a content.
class poison_ledger {
public:
    using wall_time = std::chrono::system_clock::time_point;

    // A server ended that had begun to run these contents.
    void serverEnded(std::uint64_t startHash, const std::vector<request_fingerprint>& contents, wall_time now);

    // A server has served a request of the content; returns whether that is news.
    bool served(request_fingerprint);

    poison_status statusOf(request_fingerprint, wall_time now) const;

    // Whether any server has ended under it; for most contents none has.
    bool has(request_fingerprint content) const { return m_records.count(content) != 0; }

    // Contents that are to reach no server any more.
    std::size_t poisonCount(wall_time now) const;

    // Joins records of others; returns whether they brought anything new.
    bool merge(const std::vector<poison_record>&, wall_time now);

    // Everything up to the version of the shared document is known here.
    void markSyncedTo(std::int64_t version);
    // 0 while nothing is known of the shared document.
    std::int64_t version() const { return m_version; }

    // The shared document as it stands after the store has come back from a copy, or after a
    // writer that knew less: what it lacks of what is known here it is to get again.
    void reconcileWithStored(const std::vector<poison_record>&);

    // Whether anything is known here that the shared document does not have, and what.
    bool hasUnshared(wall_time now) const;
    std::vector<poison_record> unshared(wall_time now) const;

    // All records that are to be remembered, for a document of the version.
    std::vector<poison_record> document(std::int64_t version, wall_time now) const;

    // What changed in the shared document after the version.
    std::vector<poison_record> since(std::int64_t version, wall_time now) const;

    std::size_t size() const { return m_records.size(); }

private:
    static bool isOver(const poison_record&, wall_time now);
    static poison_status statusOf(const poison_record&, wall_time now);
    std::vector<poison_record> recordsWhere(const std::function<bool(const poison_record&)>&, wall_time now) const;
    void forget(wall_time now);

    std::unordered_map<request_fingerprint, poison_record> m_records;
    std::int64_t m_version = 0;
};

}
