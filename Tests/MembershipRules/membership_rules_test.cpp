#include "MembershipRules/gossip_simulation.h"
#include "peer/gossip_codec.h"

#include <gtest/gtest.h>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    // Each rule is tested with several seeds.
    constexpr unsigned firstSeed = 1;
    constexpr unsigned lastSeed = 6;

    // Returns the number of seeds for which the scenario succeeds.
    int countPassingSeeds(const std::function<bool(unsigned seed)>& scenario)
    {
        int count = 0;
        for (unsigned seed = firstSeed; seed <= lastSeed; ++seed) {
            count += scenario(seed) ? 1 : 0;
        }
        return count;
    }

    constexpr int seedCount = lastSeed - firstSeed + 1;

    bool convergesUnderLoss(unsigned seed, const membership_options& options)
    {
        gossip_simulation simulation(seed, options);
        simulation.lossRate = 0.2;
        simulation.maxDelay = milliseconds(60);
        simulation.fill(5);
        // A node that joins when no updates are pushed any more has to learn all members
        // by a state exchange.
        simulation.lossRate = 0;
        simulation.run(minutes(1));
        simulation.add("bangsar-late", "bangsar");
        return simulation.runUntil([&] { return simulation.converged(); }, minutes(2)) && simulation.falselyDead.empty();
    }

    // Guards against a false death after a pause: a node is paused while it suspects a
    // member, the member refutes meanwhile, and the timer has expired when the node resumes.
    bool pausedNodeDeclaresNoLiveMemberDead(unsigned seed, const membership_options& options)
    {
        gossip_simulation simulation(seed, options);
        simulation.fill(4);
        simulation.at("bangsar-1").receivesNothing = true;
        bool suspected = simulation.runUntil([&] { return simulation.allSee("bangsar-1", member_state::Suspect); }, seconds(10));
        simulation.pause("bangsar-2");
        simulation.at("bangsar-1").receivesNothing = false;
        simulation.run(milliseconds(2600));
        simulation.falselyDead.clear();
        simulation.resume("bangsar-2");
        simulation.run(seconds(10));
        return suspected && simulation.falselyDead.empty() && simulation.converged();
    }

    // Guards against false deaths declared by a node that sends but receives nothing, and
    // so gets no answers from live members.
    bool nodeWithoutInputDeclaresNoLiveMemberDead(unsigned seed, const membership_options& options)
    {
        gossip_simulation simulation(seed, options);
        simulation.fill(4);
        simulation.at("bangsar-2").receivesNothing = true;
        simulation.run(seconds(20));
        simulation.falselyDead.erase("bangsar-2");
        return simulation.falselyDead.empty();
    }

    bool suspicionIsRefuted(unsigned seed, const membership_options& options)
    {
        gossip_simulation simulation(seed, options);
        simulation.fill(4);
        gossip_message accusation;
        accusation.kind = gossip_kind::Push;
        accusation.senderId = simulation.idOf("bangsar-1");
        accusation.updates.push_back({ false, simulation.protocol("bangsar-2").table().self() });
        accusation.updates.front().entry.state = member_state::Suspect;
        simulation.protocol("bangsar-0").receive(accusation, simulation.now());
        simulation.run(seconds(10));
        return simulation.falselyDead.empty() && simulation.allSee("bangsar-2", member_state::Alive);
    }

    bool partitionedZoneIsNotDead(unsigned seed, const membership_options& options)
    {
        gossip_simulation simulation(seed, options);
        simulation.fill(4);
        simulation.partitionedZone = "bangsar";
        bool unreachable = simulation.runUntil([&] {
            auto seen = simulation.protocol("cyberjaya-0").snapshot();
            return std::count_if(seen->begin(), seen->end(), [](const member& entry) { return !entry.reachable; }) == 4;
        },
            seconds(30));
        simulation.run(minutes(2));
        bool noFalseDeath = simulation.falselyDead.empty();
        simulation.partitionedZone.clear();
        return unreachable && noFalseDeath && simulation.runUntil([&] { return simulation.converged(); }, minutes(1)) && simulation.falselyDead.empty();
    }

    // Guards against reviving a dead member by an update from before its death that
    // arrives late.
    bool deadMemberStaysDead(unsigned seed, const membership_options& options)
    {
        gossip_simulation simulation(seed, options);
        simulation.fill(4);
        gossip_message staleUpdate;
        staleUpdate.kind = gossip_kind::Push;
        staleUpdate.senderId = simulation.idOf("bangsar-1");
        staleUpdate.updates.push_back({ true, simulation.protocol("bangsar-2").table().self() });
        auto id = simulation.idOf("bangsar-2");
        simulation.kill("bangsar-2");
        bool died = simulation.runUntil([&] { return !simulation.anySeesLive(id); }, seconds(30));
        simulation.run(seconds(30));
        simulation.protocol("bangsar-0").receive(staleUpdate, simulation.now());
        return died && !simulation.anySeesLive(id);
    }

}

TEST(MembershipRules, NodesFindEachOtherOverALossyNetwork)
{
    EXPECT_EQ(countPassingSeeds([](unsigned seed) { return convergesUnderLoss(seed, {}); }), seedCount);
    membership_options off;
    off.comparesDigests = false;
    EXPECT_EQ(countPassingSeeds([&](unsigned seed) { return convergesUnderLoss(seed, off); }), 0);
}

TEST(MembershipRules, PausedNodeDeclaresNoLiveMemberDead)
{
    EXPECT_EQ(countPassingSeeds([](unsigned seed) { return pausedNodeDeclaresNoLiveMemberDead(seed, {}); }), seedCount);
    membership_options off;
    off.checksOwnHealth = false;
    EXPECT_LT(countPassingSeeds([&](unsigned seed) { return pausedNodeDeclaresNoLiveMemberDead(seed, off); }), seedCount);
}

TEST(MembershipRules, NodeWithoutInputDeclaresNoLiveMemberDead)
{
    EXPECT_EQ(countPassingSeeds([](unsigned seed) { return nodeWithoutInputDeclaresNoLiveMemberDead(seed, {}); }), seedCount);
    membership_options off;
    off.checksOwnHealth = false;
    EXPECT_LT(countPassingSeeds([&](unsigned seed) { return nodeWithoutInputDeclaresNoLiveMemberDead(seed, off); }), seedCount);
}

TEST(MembershipRules, LiveMemberRefutesSuspicion)
{
    EXPECT_EQ(countPassingSeeds([](unsigned seed) { return suspicionIsRefuted(seed, {}); }), seedCount);
    membership_options off;
    off.refutes = false;
    EXPECT_EQ(countPassingSeeds([&](unsigned seed) { return suspicionIsRefuted(seed, off); }), 0);
}

TEST(MembershipRules, PartitionedZoneIsUnreachableAndNotDead)
{
    EXPECT_EQ(countPassingSeeds([](unsigned seed) { return partitionedZoneIsNotDead(seed, {}); }), seedCount);
    membership_options off;
    off.separatesZoneReachability = false;
    EXPECT_EQ(countPassingSeeds([&](unsigned seed) { return partitionedZoneIsNotDead(seed, off); }), 0);
}

TEST(MembershipRules, StaleUpdateDoesNotReviveDeadMember)
{
    EXPECT_EQ(countPassingSeeds([](unsigned seed) { return deadMemberStaysDead(seed, {}); }), seedCount);
    membership_options off;
    off.keepsTombstones = false;
    EXPECT_EQ(countPassingSeeds([&](unsigned seed) { return deadMemberStaysDead(seed, off); }), 0);
}

TEST(MembershipRules, AReplacedInstanceSupersedesItsOlderId)
{
    gossip_simulation simulation(firstSeed);
    simulation.fill(4);
    auto oldId = simulation.idOf("bangsar-2");
    simulation.kill("bangsar-2");
    simulation.add("bangsar-2", "bangsar");
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.converged() && !simulation.anySeesLive(oldId); }, seconds(15)));
}

TEST(MembershipRules, PausedMemberRejoins)
{
    gossip_simulation simulation(firstSeed);
    simulation.fill(4);
    simulation.pause("bangsar-2");
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.allSee("bangsar-2", member_state::Dead); }, seconds(30)));
    simulation.resume("bangsar-2");
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.converged(); }, seconds(30)));
    EXPECT_EQ(simulation.falselyDead, std::set<std::string> { "bangsar-2" });
}

// Times are on the simulated clock.
TEST(MembershipRules, DrainsAndDeathsReachAllMembersInTime)
{
    constexpr milliseconds step { 50 };
    gossip_simulation simulation(firstSeed);
    simulation.lossRate = 0.01;
    simulation.fill(16);
    auto leaving = simulation.protocol("bangsar-3").table().self();
    leaving.state = member_state::Draining;
    auto start = simulation.now();
    simulation.protocol("bangsar-3").setSelf(leaving, start);
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.allSee("bangsar-3", member_state::Draining); }, seconds(3)));
    std::cout << "draining state known to all members after " << (simulation.now() - start) / step * step.count() << " ms\n";
    start = simulation.now();
    simulation.kill("bangsar-4");
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.allSee("bangsar-4", member_state::Dead); }, seconds(8)));
    std::cout << "death known to all members after " << (simulation.now() - start) / step * step.count() << " ms\n";
}

TEST(MembershipRules, DamagedDatagramsAreRejected)
{
    gossip_simulation simulation(firstSeed);
    simulation.add("bangsar-0", "bangsar");
    gossip_message message;
    message.updates.push_back({ true, simulation.protocol("bangsar-0").table().self() });
    message.zones.push_back({ "bangsar", 7 });
    auto bytes = encodeGossip(message);
    auto decoded = decodeGossip(bytes.data(), bytes.size());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->updates.front().entry.name, "bangsar-0");
    EXPECT_EQ(decoded->zones.front().hash, 7U);
    std::mt19937 random(firstSeed);
    for (int i = 0; i < 10000; ++i) {
        auto damaged = bytes;
        damaged.resize(1 + random() % damaged.size());
        auto& damagedByte = damaged[random() % damaged.size()];
        damagedByte = static_cast<char>(damagedByte ^ static_cast<char>(1 + random() % 255));
        EXPECT_FALSE(decodeGossip(damaged.data(), damaged.size()));
    }
}

}
