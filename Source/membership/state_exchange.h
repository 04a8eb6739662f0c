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

// Repairs what pushed news has missed: compares digests with one peer, zone by
// zone and bucket by bucket, and exchanges the entries that differ. Every answer
// is a bounded number of datagrams; the side that asked asks on.
class state_exchange {
public:
    using time_point = std::chrono::steady_clock::time_point;

    state_exchange(const member_table&, exchange_hooks);

    // Starts with a peer, unless one is going on.
    void start(const std::string& address, time_point now);

    // Takes a message of one of the kinds Digest, BucketDigest, Pull and Entries.
    void receive(const gossip_message&, time_point now);

    // Gives up an exchange whose peer does not answer.
    void tick(time_point now);

    bool inProgress() const { return m_progress.has_value(); }
    // Exchanges that came to their end.
    std::uint64_t finished() const { return m_finished; }
    std::uint64_t abandoned() const { return m_abandoned; }

private:
    struct progress {
        std::string address;
        // Zones still to be compared; the last one is next or going on.
        std::vector<std::string> zones;
        // Whether the zone going on is unknown here, so that there is nothing to give.
        bool pullOnly = false;
        time_point deadline;
    };

    gossip_message digestMessage(bool isReply) const;
    void digestReceived(const gossip_message&, time_point now);
    void compareNextZone(time_point now);
    void bucketDigestReceived(const gossip_message&, time_point now);
    void entriesReceived(const gossip_message&, time_point now);
    // Sends the entries of the buckets in the mask, as many as one answer may hold.
    void sendEntries(const std::string& address, const std::string& zone, std::uint64_t mask, bool isAnswer, time_point now);
    void send(const std::string& address, gossip_message);

    const member_table& m_table;
    exchange_hooks m_hooks;
    std::optional<progress> m_progress;
    std::uint64_t m_finished = 0;
    std::uint64_t m_abandoned = 0;
};

}
