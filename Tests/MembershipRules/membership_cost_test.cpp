#include "MembershipRules/gossip_simulation.h"
#include "peer/gossip_codec.h"

#include <gtest/gtest.h>

#include <ctime>
#include <fstream>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Limits for one node: network traffic in both directions, and memory.
    constexpr double budgetBytesPerSecond = 7000;
    constexpr std::size_t budgetMegabytes = 64;
    // IPv4 and UDP headers.
    constexpr std::size_t datagramHeaderBytes = 28;
    constexpr int fleetZones = 18;
    constexpr int fleetNodesPerZone = 372;

    // Returns the bytes per second, sent and received, of one node while nothing changes.
    double idleTraffic(int zones, int nodesPerZone)
    {
        gossip_simulation simulation(1);
        for (int i = 0; i < zones * nodesPerZone; ++i) {
            simulation.add("node-" + std::to_string(i), "zone-" + std::to_string(i % zones));
        }
        EXPECT_TRUE(simulation.runUntil([&] { return simulation.converged(); }, seconds(120)));
        simulation.run(seconds(20));
        simulation.datagrams = 0;
        simulation.bytes = 0;
        constexpr int measuredSeconds = 30;
        auto cpuStart = std::clock();
        simulation.run(seconds(measuredSeconds));
        double nodeSeconds = static_cast<double>(measuredSeconds) * zones * nodesPerZone;
        double datagrams = static_cast<double>(simulation.datagrams) / nodeSeconds;
        double bytes = (static_cast<double>(simulation.bytes) + static_cast<double>(simulation.datagrams * datagramHeaderBytes)) / nodeSeconds;
        double microseconds = static_cast<double>(std::clock() - cpuStart) * 1e6 / CLOCKS_PER_SEC / nodeSeconds;
        std::cout << zones << " zones, " << zones * nodesPerZone << " nodes: each sends " << datagrams << " datagrams/s, " << bytes
                  << " bytes/s with headers; " << microseconds << " us of CPU time per node and second, including the simulated network\n";
        return 2 * bytes;
    }

    std::size_t residentMegabytes()
    {
        std::ifstream file("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * 4096 / 1000000;
    }

    gossip_message entryMessage(int number)
    {
        gossip_message message;
        message.kind = gossip_kind::Push;
        message.senderId = static_cast<std::uint64_t>(number) + 2;
        member entry;
        entry.id = message.senderId;
        entry.version = 1;
        entry.name = "threads-node-" + std::to_string(number);
        entry.availabilityZone = "cyberjaya-" + std::to_string(number % fleetZones);
        entry.region = "klang-valley";
        entry.address = "198.51.100." + std::to_string(number % 250) + ":" + std::to_string(number);
        entry.operatorAddress = entry.address;
        entry.service = "threads";
        message.senderAddress = entry.address;
        message.updates.push_back({ true, entry });
        return message;
    }

}

TEST(MembershipCost, IdleTrafficStaysWithinBudget)
{
    EXPECT_LT(idleTraffic(3, 4), budgetBytesPerSecond);
    EXPECT_LT(idleTraffic(3, 16), budgetBytesPerSecond);
    EXPECT_LT(idleTraffic(6, 25), budgetBytesPerSecond);
    // As many zones as the fleet has, so that a node probes across zones as often.
    EXPECT_LT(idleTraffic(fleetZones, 8), budgetBytesPerSecond);
}

TEST(MembershipCost, OneNodeHoldsTheWholeFleet)
{
    auto before = residentMegabytes();
    gossip_simulation::time_point now { std::chrono::hours(1) };
    member self = entryMessage(0).updates.front().entry;
    self.id = 1;
    std::mt19937_64 random(1);
    gossip_hooks hooks;
    hooks.random = [&](std::uint64_t bound) { return random() % bound; };
    hooks.send = [](const std::string&, const gossip_message&) {};
    gossip_protocol protocol(self, {}, hooks, now);
    std::size_t entryBytes = 0;
    for (int number = 1; number < fleetZones * fleetNodesPerZone; ++number) {
        auto message = entryMessage(number);
        entryBytes += wireBytes(message.updates.front());
        protocol.receive(message, now);
    }
    auto cpuStart = std::clock();
    auto first = protocol.snapshot();
    auto second = protocol.snapshot();
    auto snapshotTime = static_cast<double>(std::clock() - cpuStart) / 2 * 1000 / CLOCKS_PER_SEC;
    constexpr int ticks = 1200;
    cpuStart = std::clock();
    for (int tick = 0; tick < ticks; ++tick) {
        now += milliseconds(50);
        gossip_message ping = entryMessage(1 + tick);
        ping.kind = gossip_kind::Ping;
        ping.updates.clear();
        ping.targetId = 1;
        ping.digest = protocol.table().digest();
        protocol.receive(ping, now);
        protocol.tick(now);
    }
    auto tickTime = static_cast<double>(std::clock() - cpuStart) * 1e6 / CLOCKS_PER_SEC / ticks;
    auto growth = residentMegabytes() - before;
    std::cout << first->size() << " members: " << entryBytes << " bytes of entries on the wire, " << growth << " MB with two snapshots, "
              << snapshotTime << " ms for a snapshot, " << tickTime << " us for a tick and an answered ping\n";
    EXPECT_EQ(second->size(), static_cast<std::size_t>(fleetZones * fleetNodesPerZone));
    EXPECT_LT(growth, budgetMegabytes);
}

}
