#pragma once

#include "store/metadata_store.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// What this node's part in keeping the seeds is at present.
struct seed_duty {
    // Which of the zone's seeds is to hold the own address; nothing for most nodes.
    std::optional<std::size_t> number;
    // Whether the node knows nobody that answers.
    bool alone = true;
};

struct seed_keeper_hooks {
    std::function<void(std::vector<std::string> addresses)> seedsRead;
    std::function<std::uint64_t(std::uint64_t bound)> random;
    // When an answer of the store arrives.
    std::function<std::chrono::steady_clock::time_point()> now;
};

struct seed_keeper_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
};

// Reads the seeds from the platform's store at the start and while the node is
// alone, and keeps the own address there while that is its duty. All other nodes
// leave the store in peace, so that its calls do not grow with the fleet.
class seed_keeper {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The store outlives the keeper.
    seed_keeper(metadata_store&, std::string availabilityZone, std::string address, seed_keeper_hooks);

    void tick(const seed_duty&, time_point now);

    // The store has come back from an earlier copy: whoever keeps a seed looks after it soon.
    void storeReturned(time_point now);

    // Whether a call to the store is under way.
    bool calling() const { return m_calling; }

    const seed_keeper_counts& counts() const { return m_counts; }

private:
    void read();
    void seedsArrived(const store_range&, time_point now);
    void keepOwn(const store_range&);
    void write(const std::string& key, std::int64_t expectedRevision);
    void callFailed(time_point now);
    void readAgainAfter(std::chrono::milliseconds, time_point now);

    metadata_store& m_store;
    std::string m_zone;
    std::string m_address;
    seed_keeper_hooks m_hooks;
    seed_keeper_counts m_counts;
    seed_duty m_duty;
    bool m_calling = false;
    std::uint32_t m_readsWhileAlone = 0;
    std::uint32_t m_failuresInARow = 0;
    time_point m_nextRead;
};

}
