#include "MembershipRules/gossip_world.h"
#include "peer/gossip_codec.h"

#include <gtest/gtest.h>

#include <ctime>
#include <fstream>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // What one node may use of the net, in both directions, and of memory.
    constexpr double budgetBytesPerSecond = 7000;
    constexpr std::size_t budgetMegabytes = 64;
    constexpr std::size_t datagramHeaders = 28;
    constexpr int fleetZones = 18;
    constexpr int fleetNodesPerZone = 372;

    // Bytes per second, sent and received, of one node that has nothing to report.
    double quietTraffic(int zones, int nodesPerZone)
    {
        gossip_world world(1);
        for (int i = 0; i < zones * nodesPerZone; ++i) {
            world.add("node-" + std::to_string(i), "zone-" + std::to_string(i % zones));
        }
        EXPECT_TRUE(world.runUntil([&] { return world.converged(); }, seconds(120)));
        world.run(seconds(20));
        world.datagrams = 0;
        world.bytes = 0;
        constexpr int measured = 30;
        auto processor = std::clock();
        world.run(seconds(measured));
        double nodeSeconds = static_cast<double>(measured) * zones * nodesPerZone;
        double datagrams = static_cast<double>(world.datagrams) / nodeSeconds;
        double bytes = (static_cast<double>(world.bytes) + static_cast<double>(world.datagrams * datagramHeaders)) / nodeSeconds;
        double microseconds = static_cast<double>(std::clock() - processor) * 1e6 / CLOCKS_PER_SEC / nodeSeconds;
        std::cout << zones << " zones, " << zones * nodesPerZone << " nodes: each sends " << datagrams << " datagrams/s, " << bytes
                  << " bytes/s with headers; " << microseconds << " us of processor per node and second, the test's net included\n";
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

    gossip_message entryOf(int number)
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

TEST(MembershipCost, QuietTrafficStaysWithinTheBudget)
{
    EXPECT_LT(quietTraffic(3, 4), budgetBytesPerSecond);
    EXPECT_LT(quietTraffic(3, 16), budgetBytesPerSecond);
    EXPECT_LT(quietTraffic(6, 25), budgetBytesPerSecond);
    // As many zones as the fleet has, so that a node probes across zones as often.
    EXPECT_LT(quietTraffic(fleetZones, 8), budgetBytesPerSecond);
}

TEST(MembershipCost, OneNodeHoldsTheWholeFleet)
{
    auto before = residentMegabytes();
    gossip_world::time_point now { std::chrono::hours(1) };
    member self = entryOf(0).updates.front().entry;
    self.id = 1;
    std::mt19937_64 random(1);
    gossip_hooks hooks;
    hooks.random = [&](std::uint64_t bound) { return random() % bound; };
    hooks.send = [](const std::string&, const gossip_message&) {};
    gossip_protocol protocol(self, {}, hooks, now);
    std::size_t entryBytes = 0;
    for (int number = 1; number < fleetZones * fleetNodesPerZone; ++number) {
        auto message = entryOf(number);
        entryBytes += wireBytes(message.updates.front());
        protocol.receive(message, now);
    }
    auto processor = std::clock();
    auto first = protocol.snapshot();
    auto second = protocol.snapshot();
    auto snapshotTime = static_cast<double>(std::clock() - processor) / 2 * 1000 / CLOCKS_PER_SEC;
    constexpr int ticks = 1200;
    processor = std::clock();
    for (int tick = 0; tick < ticks; ++tick) {
        now += milliseconds(50);
        gossip_message ping = entryOf(1 + tick);
        ping.kind = gossip_kind::Ping;
        ping.updates.clear();
        ping.targetId = 1;
        ping.digest = protocol.table().digest();
        protocol.receive(ping, now);
        protocol.tick(now);
    }
    auto tickTime = static_cast<double>(std::clock() - processor) * 1e6 / CLOCKS_PER_SEC / ticks;
    auto grown = residentMegabytes() - before;
    std::cout << first->size() << " members: " << entryBytes << " bytes of entries on the wire, " << grown << " MB with two snapshots, "
              << snapshotTime << " ms for a snapshot, " << tickTime << " us for a tick and an answered ping\n";
    EXPECT_EQ(second->size(), static_cast<std::size_t>(fleetZones * fleetNodesPerZone));
    EXPECT_LT(grown, budgetMegabytes);
}

}
