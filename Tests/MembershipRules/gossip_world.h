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

// Many nodes' gossip in one process, over a net that loses, delays and cuts as a
// test wants, on a clock of its own. The same seed gives the same run.
class gossip_world {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    struct node {
        std::unique_ptr<gossip_protocol> protocol;
        std::string address;
        bool paused = false;
        bool deaf = false;
        // What arrived while it was paused.
        std::vector<gossip_message> backlog;
    };

    explicit gossip_world(unsigned seed, const membership_options& = {});

    // Starts a node that knows the first node's address, and returns its name.
    std::string add(const std::string& name, const std::string& zone);
    // Starts as many in each of three zones, and lets them find each other.
    void fill(int nodesPerZone);
    void kill(const std::string& name);
    void pause(const std::string& name);
    // Ticks come before what has arrived meanwhile.
    void resume(const std::string& name);

    void run(milliseconds);
    // Returns whether the condition came true within the time.
    bool runUntil(const std::function<bool()>&, milliseconds);

    node& at(const std::string& name) { return m_nodes.at(name); }
    gossip_protocol& protocol(const std::string& name) { return *m_nodes.at(name).protocol; }
    std::uint64_t idOf(const std::string& name) { return m_ids.at(name); }
    std::vector<std::string> names() const;
    time_point now() const { return m_now; }

    // Whether every node that runs sees exactly the nodes that run, alive and reachable.
    bool converged();
    // Whether all nodes but those excepted see the member in that state.
    bool allSee(const std::string& name, member_state, const std::set<std::string>& except = {});
    bool anySeesLive(std::uint64_t memberId);

    double loss = 0;
    milliseconds longestDelay { 2 };
    std::string cutZone;
    // Nodes that some node took for dead while they ran.
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
    bool severed(const std::string& from, const std::string& to);
    void noteDeaths(const std::string& name);

    membership_options m_options;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::hours(1) };
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::map<std::string, node> m_nodes;
    std::map<std::string, std::string> m_nameOfAddress;
    std::map<std::string, std::uint64_t> m_ids;
    int m_lastPort = 0;
    std::string m_firstAddress;
};

}
