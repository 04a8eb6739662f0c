#include "peer/gossip_codec.h"

#include "peer/datagram_checksum.h"

#include <caf/binary_deserializer.hpp>
#include <caf/binary_serializer.hpp>
#include <caf/meta/type_name.hpp>

#include <algorithm>
#include <limits>

namespace vanillashunt {

namespace {

    // "VSG3", little-endian; the digit is the version of the format.
    constexpr std::uint32_t magic = 0x33475356;
    // Limits the memory that this node allocates for one datagram.
    constexpr std::size_t maxElements = 1000;
    constexpr std::int64_t maxUptimeMilliseconds = 1000LL * 60 * 60 * 24 * 3650;

    // An age that is not known; also the highest that is told.
    constexpr std::uint32_t unknownAge = std::numeric_limits<std::uint32_t>::max();

    // Ages in milliseconds.
    std::uint32_t encodeAge(const std::optional<std::chrono::milliseconds>& age)
    {
        return age ? static_cast<std::uint32_t>(std::clamp<std::int64_t>(age->count(), 0, unknownAge)) : unknownAge;
    }

    std::optional<std::chrono::milliseconds> decodeAge(std::uint32_t age)
    {
        return age == unknownAge ? std::nullopt : std::optional(std::chrono::milliseconds(age));
    }

    template <class Inspector>
    bool inspectHeader(Inspector& f, gossip_message& x, std::uint8_t& kind, std::uint32_t& contractsAge)
    {
        return !f(kind, x.senderId, x.senderAddress, x.versions.contracts, contractsAge, x.versions.poison, x.digest, x.settled);
    }

    bool isProbe(gossip_kind kind)
    {
        return kind == gossip_kind::Ping || kind == gossip_kind::Ack || kind == gossip_kind::PingRequest || kind == gossip_kind::PingAccepted;
    }

    // The fields that depend on the kind of the message, without the lists of zones and updates.
    template <class Inspector>
    bool inspectBody(Inspector& f, gossip_message& x)
    {
        if (isProbe(x.kind)) {
            return !f(x.sequence, x.targetId, x.targetAddress);
        }
        switch (x.kind) {
        case gossip_kind::BucketDigest:
            return !f(x.availabilityZone, x.buckets);
        case gossip_kind::Pull:
            return !f(x.availabilityZone, x.bucketMask);
        case gossip_kind::Entries:
            return !f(x.availabilityZone, x.bucketMask, x.remainingMask, x.isLast);
        case gossip_kind::Digest:
            return !f(x.isReply);
        default:
            return true;
        }
    }

    template <class Inspector>
    bool inspectEntry(Inspector& f, member& x, std::int64_t& uptime)
    {
        return !f(x.name, x.availabilityZone, x.region, x.address, x.operatorAddress, x.service, x.slots, uptime);
    }

    bool writeUpdate(caf::binary_serializer& sink, member_update update)
    {
        auto& entry = update.entry;
        auto state = static_cast<std::uint8_t>(entry.state);
        if (sink(update.whole, entry.id, entry.version, state)) {
            return false;
        }
        std::int64_t uptime = entry.uptime.count();
        return !update.whole || inspectEntry(sink, entry, uptime);
    }

    bool readUpdate(caf::binary_deserializer& source, member_update& update)
    {
        auto& entry = update.entry;
        std::uint8_t state = 0;
        if (source(update.whole, entry.id, entry.version, state) || state > static_cast<std::uint8_t>(member_state::Dead)) {
            return false;
        }
        entry.state = static_cast<member_state>(state);
        if (!update.whole) {
            return true;
        }
        std::int64_t uptime = 0;
        if (!inspectEntry(source, entry, uptime) || uptime < 0 || uptime > maxUptimeMilliseconds) {
            return false;
        }
        entry.uptime = std::chrono::milliseconds(uptime);
        return true;
    }

    bool writeLists(caf::binary_serializer& sink, const gossip_message& message)
    {
        auto zoneCount = static_cast<std::uint16_t>(message.zones.size());
        auto updateCount = static_cast<std::uint16_t>(message.updates.size());
        bool written = !sink(zoneCount, updateCount);
        for (const auto& zone : message.zones) {
            written = written && !sink(zone.availabilityZone, zone.hash);
        }
        for (const auto& update : message.updates) {
            written = written && writeUpdate(sink, update);
        }
        return written;
    }

    bool readLists(caf::binary_deserializer& source, gossip_message& message)
    {
        std::uint16_t zoneCount = 0;
        std::uint16_t updateCount = 0;
        if (source(zoneCount, updateCount) || zoneCount > maxElements || updateCount > maxElements) {
            return false;
        }
        for (std::uint16_t i = 0; i < zoneCount; ++i) {
            zone_hash zone;
            if (source(zone.availabilityZone, zone.hash)) {
                return false;
            }
            message.zones.push_back(std::move(zone));
        }
        for (std::uint16_t i = 0; i < updateCount; ++i) {
            member_update update;
            if (!readUpdate(source, update)) {
                return false;
            }
            message.updates.push_back(std::move(update));
        }
        return true;
    }

}

std::vector<char> encodeGossip(const gossip_message& message, std::uint64_t checksumSeed)
{
    std::vector<char> bytes(checksumHeaderBytes);
    caf::binary_serializer sink(nullptr, bytes);
    sink.seek(checksumHeaderBytes);
    auto copy = message;
    auto kind = static_cast<std::uint8_t>(message.kind);
    auto contractsAge = encodeAge(message.versions.contractsAge);
    if (!inspectHeader(sink, copy, kind, contractsAge) || !inspectBody(sink, copy) || !writeLists(sink, message)) {
        return {};
    }
    writeChecksumHeader(bytes, magic, checksumSeed);
    return bytes;
}

std::optional<gossip_message> decodeGossip(const char* bytes, std::size_t size, std::uint64_t checksumSeed)
{
    auto payload = readChecksummedPayload({ bytes, size }, magic, checksumSeed);
    if (!payload) {
        return std::nullopt;
    }
    caf::binary_deserializer source(nullptr, payload->data(), payload->size());
    gossip_message message;
    std::uint8_t kind = 0;
    std::uint32_t contractsAge = 0;
    if (!inspectHeader(source, message, kind, contractsAge) || kind == 0 || kind >= gossipKindCount) {
        return std::nullopt;
    }
    message.kind = static_cast<gossip_kind>(kind);
    message.versions.contractsAge = decodeAge(contractsAge);
    if (!inspectBody(source, message) || !readLists(source, message) || source.remaining() != 0) {
        return std::nullopt;
    }
    return message;
}

}
