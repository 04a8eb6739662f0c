#pragma once

#include "store/metadata_store.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// This node's current role in keeping the seeds of its availability zone.
struct seed_duty {
    // The number of the seed that is to hold this node's address; std::nullopt for most nodes.
    std::optional<std::size_t> number;
    // Whether the node knows no member that responds.
    bool alone = true;
};

struct seed_keeper_hooks {
    std::function<void(std::vector<std::string> addresses)> seedsRead;
    // Returns a random number below the bound.
    std::function<std::uint64_t(std::uint64_t bound)> random;
    // Returns the present time; called when an answer of the store arrives.
    std::function<std::chrono::steady_clock::time_point()> now;
};

struct seed_keeper_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
};

// Reads the seeds from the platform's store at the start and while the node is
// alone, and keeps this node's address in a seed while that is its duty. Otherwise it
// does not call the store, whose load therefore does not grow with the number of nodes.
class seed_keeper {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The store outlives the keeper.
    seed_keeper(metadata_store&, std::string availabilityZone, std::string address, seed_keeper_hooks);

    void tick(const seed_duty&, time_point now);

    // Reads the seeds soon, if this node keeps one or is alone, and whatever the delay after failed reads is.
    void readSoon(time_point now);

    // Whether a call to the store is in progress.
    bool calling() const { return m_calling; }

    const seed_keeper_counts& counts() const { return m_counts; }

private:
    void read();
    void handleSeeds(const store_range&, time_point now);
    void writeOwnSeed(const store_range&);
    void write(const std::string& key, std::int64_t expectedRevision);
    void callFailed(time_point now);
    void scheduleRead(std::chrono::milliseconds, time_point now);

    metadata_store& m_store;
    std::string m_zone;
    std::string m_address;
    seed_keeper_hooks m_hooks;
    seed_keeper_counts m_counts;
    seed_duty m_duty;
    bool m_calling = false;
    std::uint32_t m_readsWhileAlone = 0;
    std::uint32_t m_consecutiveFailures = 0;
    time_point m_nextRead;
};

}
