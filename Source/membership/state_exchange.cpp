#include "membership/state_exchange.h"

#include <algorithm>

namespace vanillashunt {

namespace {

    constexpr std::chrono::milliseconds answerTimeout { 1000 };
    constexpr std::size_t datagramsPerAnswer = 12;
    constexpr std::uint64_t allBuckets = ~0ULL;

    std::uint64_t bucketBit(std::size_t bucket)
    {
        return 1ULL << bucket;
    }

}

state_exchange::state_exchange(const member_table& table, exchange_hooks hooks)
    : m_table(table)
    , m_hooks(std::move(hooks))
{
}

void state_exchange::start(const std::string& address, time_point now)
{
    if (m_progress) {
        return;
    }
    m_progress = progress { address, {}, false, now + answerTimeout };
    send(address, digestMessage(false));
}

void state_exchange::tick(time_point now)
{
    if (m_progress && m_progress->deadline <= now) {
        m_progress.reset();
        ++m_abandoned;
    }
}

void state_exchange::receive(const gossip_message& message, time_point now)
{
    switch (message.kind) {
    case gossip_kind::Digest:
        digestReceived(message, now);
        return;
    case gossip_kind::BucketDigest:
        bucketDigestReceived(message, now);
        return;
    case gossip_kind::Pull:
        sendEntries(message.senderAddress, message.availabilityZone, message.bucketMask, true, now);
        return;
    case gossip_kind::Entries:
        entriesReceived(message, now);
        return;
    default:
        return;
    }
}

gossip_message state_exchange::digestMessage(bool isReply) const
{
    gossip_message message;
    message.kind = gossip_kind::Digest;
    message.isReply = isReply;
    for (const auto& [zone, members] : m_table.zones()) {
        if (!members.live.empty()) {
            message.zones.push_back({ zone, members.digest.hash() });
        }
    }
    return message;
}

void state_exchange::digestReceived(const gossip_message& message, time_point now)
{
    if (!message.isReply) {
        send(message.senderAddress, digestMessage(true));
        return;
    }
    if (!m_progress || m_progress->address != message.senderAddress || !m_progress->zones.empty()) {
        return;
    }
    auto ownHashes = digestMessage(false).zones;
    auto differs = [](const std::vector<zone_hash>& hashes, const zone_hash& hash) {
        return std::none_of(hashes.begin(), hashes.end(), [&](const zone_hash& other) {
            return other.availabilityZone == hash.availabilityZone && other.hash == hash.hash;
        });
    };
    auto& zones = m_progress->zones;
    for (const auto& hash : message.zones) {
        if (differs(ownHashes, hash)) {
            zones.push_back(hash.availabilityZone);
        }
    }
    for (const auto& hash : ownHashes) {
        if (differs(message.zones, hash) && std::find(zones.begin(), zones.end(), hash.availabilityZone) == zones.end()) {
            zones.push_back(hash.availabilityZone);
        }
    }
    // Zones are taken from the back, so this node's own zone is moved there to go first.
    std::stable_partition(zones.begin(), zones.end(), [this](const std::string& zone) { return zone != m_table.self().availabilityZone; });
    compareNextZone(now);
}

void state_exchange::compareNextZone(time_point now)
{
    if (m_progress->zones.empty()) {
        m_progress.reset();
        ++m_finished;
        return;
    }
    const auto& zone = m_progress->zones.back();
    gossip_message message;
    message.availabilityZone = zone;
    m_progress->deadline = now + answerTimeout;
    m_progress->pullOnly = m_table.liveIn(zone).empty();
    if (m_progress->pullOnly) {
        message.kind = gossip_kind::Pull;
        message.bucketMask = allBuckets;
    } else {
        message.kind = gossip_kind::BucketDigest;
        const auto& buckets = m_table.zones().at(zone).digest.buckets();
        message.buckets.assign(buckets.begin(), buckets.end());
    }
    send(m_progress->address, std::move(message));
}

void state_exchange::bucketDigestReceived(const gossip_message& message, time_point now)
{
    if (message.buckets.size() != bucketCount) {
        return;
    }
    auto found = m_table.zones().find(message.availabilityZone);
    const zone_digest empty;
    const auto& ownBuckets = found == m_table.zones().end() ? empty.buckets() : found->second.digest.buckets();
    std::uint64_t mask = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        mask |= ownBuckets.at(bucket) == message.buckets[bucket] ? 0 : bucketBit(bucket);
    }
    sendEntries(message.senderAddress, message.availabilityZone, mask, true, now);
}

void state_exchange::sendEntries(const std::string& address, const std::string& zone, std::uint64_t mask, bool isAnswer, time_point now)
{
    gossip_message message;
    message.kind = gossip_kind::Entries;
    message.availabilityZone = zone;
    message.bucketMask = mask;
    std::size_t datagrams = 1;
    std::size_t bytes = 0;
    auto remaining = mask;
    for (std::size_t bucket = 0; bucket < bucketCount && datagrams < datagramsPerAnswer; ++bucket) {
        if (!(mask & bucketBit(bucket))) {
            continue;
        }
        remaining &= ~bucketBit(bucket);
        for (auto memberId : m_table.membersInBucket(zone, bucket)) {
            auto update = m_table.makeUpdate(memberId, now);
            auto size = wireBytes(update);
            if (bytes + size > updateBytesPerDatagram) {
                send(address, message);
                message.updates.clear();
                bytes = 0;
                ++datagrams;
            }
            bytes += size;
            message.updates.push_back(std::move(update));
        }
    }
    message.isLast = isAnswer;
    message.remainingMask = remaining;
    send(address, std::move(message));
}

void state_exchange::entriesReceived(const gossip_message& message, time_point now)
{
    m_hooks.merge(message, now);
    if (!m_progress || m_progress->address != message.senderAddress || m_progress->zones.empty()) {
        return;
    }
    if (m_progress->zones.back() != message.availabilityZone) {
        return;
    }
    m_progress->deadline = now + answerTimeout;
    if (!message.isLast) {
        return;
    }
    if (!m_progress->pullOnly) {
        sendEntries(message.senderAddress, message.availabilityZone, message.bucketMask & ~message.remainingMask, false, now);
    }
    if (message.remainingMask != 0) {
        gossip_message pull;
        pull.kind = gossip_kind::Pull;
        pull.availabilityZone = message.availabilityZone;
        pull.bucketMask = message.remainingMask;
        send(message.senderAddress, std::move(pull));
        return;
    }
    m_progress->zones.pop_back();
    compareNextZone(now);
}

void state_exchange::send(const std::string& address, gossip_message message)
{
    m_hooks.send(address, std::move(message));
}

}
