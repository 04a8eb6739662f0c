#pragma once

#include "membership/gossip_protocol.h"

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vanillashunt {

// Simulates the gossip of many nodes in one process, on a simulated clock and a network
// with configurable loss, delay and partition. The same seed gives the same run.
class gossip_simulation {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    struct node {
        std::unique_ptr<gossip_protocol> protocol;
        std::string address;
        bool paused = false;
        // Drops all incoming datagrams.
        bool receivesNothing = false;
        // Messages that arrived during a pause.
        std::vector<gossip_message> backlog;
    };

    explicit gossip_simulation(unsigned seed, const membership_options& = {});

    // Starts a node that knows the first node's address, and returns its name.
    std::string add(const std::string& name, const std::string& zone);
    // Starts this many nodes in each of three zones, and runs until they have converged,
    // for at most two minutes.
    void fill(int nodesPerZone);
    void kill(const std::string& name);
    void pause(const std::string& name);
    // Lets the node tick first, then receive what arrived during the pause.
    void resume(const std::string& name);

    void run(milliseconds);
    // Returns whether the condition became true within the time.
    bool runUntil(const std::function<bool()>&, milliseconds);

    node& at(const std::string& name) { return m_nodes.at(name); }
    gossip_protocol& protocol(const std::string& name) { return *m_nodes.at(name).protocol; }
    std::uint64_t idOf(const std::string& name) { return m_idByName.at(name); }
    std::vector<std::string> names() const;
    time_point now() const { return m_now; }

    // Whether each running node sees exactly the running nodes, all alive and reachable.
    bool converged();
    // Whether all other nodes, without the excepted ones, see the member in that state.
    bool allSee(const std::string& name, member_state, const std::set<std::string>& except = {});
    bool anySeesLive(std::uint64_t memberId);

    // Fraction of datagrams that are lost.
    double lossRate = 0;
    milliseconds maxDelay { 2 };
    // Zone that exchanges no datagrams with the others; none if empty.
    std::string partitionedZone;
    // Nodes that some node considered dead while they were running.
    std::set<std::string> falselyDead;
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;

private:
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const { return at > other.at || (at == other.at && order > other.order); }
    };

    void schedule(milliseconds, std::function<void()>);
    void tick(const std::string& name, std::uint64_t id);
    void deliver(const std::string& from, const std::string& address, const gossip_message&);
    bool crossesPartition(const std::string& from, const std::string& to);
    void recordFalseDeaths(const std::string& name);

    membership_options m_options;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::hours(1) };
    std::uint64_t m_lastOrder = 0;
    std::priority_queue<event> m_events;
    std::map<std::string, node> m_nodes;
    std::map<std::string, std::string> m_nameByAddress;
    std::map<std::string, std::uint64_t> m_idByName;
    int m_lastPort = 0;
    std::string m_firstAddress;
};

}
