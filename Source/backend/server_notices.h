#pragma once

#include "backend/server_start.h"
#include "decision/server_notice.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace vanillashunt {

// The notice in an answer of the backend server beside the node.
struct received_notice {
    server_notice notice;
    // Whether an answer without a rate limit ends the previous one. This is false for an answer that
    // the server has not signed, or whose limit is unreadable.
    bool mayEndLimit = true;
    // When the request was sent, and when the header of its answer arrived.
    std::chrono::steady_clock::time_point requestSent;
    std::chrono::steady_clock::time_point received;
};

// What the starts of the backend server beside the node have announced in their answers. An answer
// that this process received counts more than what other nodes relay from an earlier process of this
// node, and a later answer counts more than an earlier one. Answers on different connections may be
// read in another order than they were sent, so a limit is raised or ended only by the answer to a
// request that was sent after the limit became known. A start that leaves never stays.
class server_notices {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Returns whether the notice changed anything.
    bool answered(const server_start&, const received_notice&);
    bool relayed(const relayed_notice&, time_point now);

    // Relays from now on what is known of the start, even if it has announced nothing.
    void relayFrom(const server_start&);

    // What is in force for the start.
    server_notice current(const server_start&) const;

    // The notice for other nodes; nothing if the start has never announced anything.
    std::optional<relayed_notice> toRelay(const server_start&, time_point now) const;

private:
    struct record {
        server_notice notice;
        // When the latest answer arrived that tells of the limit, and whether it arrived at this
        // process.
        time_point received;
        bool isOwn = false;
        // 0 until there is something to relay.
        std::uint64_t version = 0;
    };

    static bool changesLimit(const record&, const received_notice&);
    record& recordOf(std::uint64_t start);
    bool update(record&, const server_notice&);
    void relayFrom(record&);

    std::unordered_map<std::uint64_t, record> m_records;
    std::uint64_t m_version = 0;
};

}
