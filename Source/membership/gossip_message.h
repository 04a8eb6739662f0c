#pragma once

#include "decision/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillashunt {

// What one node tells another of a member: its whole entry, or just its state.
struct member_update {
    bool whole = false;
    // Of an update that is not whole only id, version and state count.
    member entry;
};

enum class gossip_kind : std::uint8_t {
    Ping = 1,
    Ack,
    // Asks a third member to ping the target.
    PingRequest,
    // Tells that a PingRequest has arrived, so that its sender need not doubt itself.
    PingAccepted,
    // News only.
    Push,
    // One hash for each availability zone.
    Digest,
    // The hashes of one availability zone's buckets.
    BucketDigest,
    // Asks for the entries of some buckets.
    Pull,
    // Entries of some buckets.
    Entries,
};

constexpr std::uint8_t gossipKindCount = 10;

struct zone_hash {
    std::string availabilityZone;
    std::uint64_t hash = 0;
};

// How far a node knows what all nodes are to know. Who lacks a version fetches what it
// brought from whoever told of it.
struct document_versions {
    // The highest revision of the contracts, or the version of the routes.
    std::int64_t contracts = 0;
    // Of the document on requests that end servers.
    std::int64_t poison = 0;
};

// One datagram. Which of the fields go on the wire depends on its kind.
struct gossip_message {
    gossip_kind kind = gossip_kind::Ping;
    std::uint64_t senderId = 0;
    // Where the sender takes answers, as advertised.
    std::string senderAddress;
    // What the sender has of that which all nodes are to know.
    document_versions versions;

    // Ping, Ack, PingRequest and PingAccepted.
    std::uint32_t sequence = 0;
    // Whom it is about: the member to be pinged, or the one that answered. 0 for anyone.
    std::uint64_t targetId = 0;
    std::string targetAddress;
    // The sender's digest of all members, and whether it has been the same for a while.
    std::uint64_t digest = 0;
    bool settled = false;

    // Digest.
    std::vector<zone_hash> zones;
    bool isReply = false;

    // BucketDigest, Pull and Entries.
    std::string availabilityZone;
    std::vector<std::uint64_t> buckets;
    // Pull: the buckets wanted. Entries: the buckets that were asked for.
    std::uint64_t bucketMask = 0;
    // Entries: buckets that were asked for and do not fit in this answer.
    std::uint64_t remainingMask = 0;
    // Entries: whether it is the last datagram of an answer.
    bool isLast = false;

    std::vector<member_update> updates;
};

// Bytes that an update takes on the wire, at most.
std::size_t wireBytes(const member_update&);

// Bytes of updates that fit in one datagram beside everything else.
constexpr std::size_t updateBytesPerDatagram = 1150;

}
