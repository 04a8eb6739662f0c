#pragma once

#include "decision/member.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// What one node tells another about a member: its whole entry, or only its state.
struct member_update {
    bool whole = false;
    // Only id, version and state are set unless the update is whole.
    member entry;
};

enum class gossip_kind : std::uint8_t {
    Ping = 1,
    Ack,
    // Asks a third member to ping the target.
    PingRequest,
    // Confirms a PingRequest, which shows its sender that its own network works.
    PingAccepted,
    // Carries updates only.
    Push,
    // One hash for each availability zone.
    Digest,
    // The hash of each bucket of one availability zone.
    BucketDigest,
    // Asks for the entries of some buckets.
    Pull,
    // Entries of some buckets.
    Entries,
};

// One more than the highest kind; the kinds start at 1.
constexpr std::uint8_t gossipKindCount = 10;

struct zone_hash {
    std::string availabilityZone;
    std::uint64_t hash = 0;
};

// Versions of the documents that are replicated to all nodes, as one node holds them. A
// node that receives a higher version fetches the changes from the sender.
struct document_versions {
    // Highest revision of the contracts, or version of the routes.
    std::int64_t contracts = 0;
    // Time since the platform's store last confirmed that this version of the contracts or routes was its
    // latest one, to this node or to one that told it; nothing if it never did.
    std::optional<std::chrono::milliseconds> contractsAge {};
    // Version of the document that lists requests which crash backend servers.
    std::int64_t poison = 0;
};

// One datagram. Which of the fields go on the wire depends on its kind.
struct gossip_message {
    gossip_kind kind = gossip_kind::Ping;
    std::uint64_t senderId = 0;
    // Advertised address to which answers are sent.
    std::string senderAddress;
    // Versions of the replicated documents that the sender holds.
    document_versions versions;

    // Ping, Ack, PingRequest and PingAccepted.
    std::uint32_t sequence = 0;
    // The member to be pinged or, in an Ack, the one that answered; 0 for any member.
    std::uint64_t targetId = 0;
    std::string targetAddress;
    // The sender's digest of all members, and whether it has not changed recently.
    std::uint64_t digest = 0;
    bool settled = false;

    // Digest.
    std::vector<zone_hash> zones;
    bool isReply = false;

    // BucketDigest, Pull and Entries.
    std::string availabilityZone;
    std::vector<std::uint64_t> buckets;
    // Pull: the requested buckets. Entries: the buckets that had been requested. One bit
    // for each bucket.
    std::uint64_t bucketMask = 0;
    // Entries: requested buckets that do not fit into this answer.
    std::uint64_t remainingMask = 0;
    // Entries: whether this is the last datagram of an answer.
    bool isLast = false;

    std::vector<member_update> updates;
};

// Returns the maximum number of bytes that an update takes on the wire.
std::size_t wireBytes(const member_update&);

// Bytes available for updates in one datagram, beside its other fields.
constexpr std::size_t updateBytesPerDatagram = 1150;

}
