#pragma once

#include "membership/gossip_message.h"
#include "membership/member_table.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

struct exchange_hooks {
    std::function<void(const std::string& address, gossip_message)> send;
    // Merges the updates of a message into the table.
    std::function<void(const gossip_message&, std::chrono::steady_clock::time_point now)> merge;
};

// Anti-entropy, which repairs what pushed updates have missed: compares digests with
// one peer, zone by zone and bucket by bucket, and exchanges the entries of buckets that
// differ. Each answer has a limited number of datagrams; the initiator pulls the rest.
class state_exchange {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The table outlives the exchange.
    state_exchange(const member_table&, exchange_hooks);

    // Starts an exchange with a peer, unless one is in progress.
    void start(const std::string& address, time_point now);

    // Handles messages of the kinds Digest, BucketDigest, Pull and Entries; ignores others.
    void receive(const gossip_message&, time_point now);

    // Abandons the exchange if the peer has not answered in time.
    void tick(time_point now);

    bool inProgress() const { return m_progress.has_value(); }
    // Number of exchanges started by this node that were completed.
    std::uint64_t finished() const { return m_finished; }
    // Number of exchanges given up because the peer did not answer.
    std::uint64_t abandoned() const { return m_abandoned; }

private:
    struct progress {
        std::string address;
        // Zones still to be compared; the last one is current or next.
        std::vector<std::string> zones;
        // Whether no live member of the current zone is known here, so that there are no
        // entries to send.
        bool pullOnly = false;
        time_point deadline;
    };

    gossip_message digestMessage(bool isReply) const;
    void digestReceived(const gossip_message&, time_point now);
    void compareNextZone(time_point now);
    void bucketDigestReceived(const gossip_message&, time_point now);
    void entriesReceived(const gossip_message&, time_point now);
    // Sends the entries of the buckets in the mask, up to the limit of one answer.
    void sendEntries(const std::string& address, const std::string& zone, std::uint64_t mask, bool isAnswer, time_point now);
    void send(const std::string& address, gossip_message);

    const member_table& m_table;
    exchange_hooks m_hooks;
    std::optional<progress> m_progress;
    std::uint64_t m_finished = 0;
    std::uint64_t m_abandoned = 0;
};

}
