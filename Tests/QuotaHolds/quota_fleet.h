#pragma once

#include "quota/quota_exchange.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vanillashunt {

// The demand for one organisation at one node.
struct quota_demand {
    std::size_t node = 0;
    std::string organisation;
    // Requests a second, at random times.
    double rate = 0;
};

// A fleet of real quota exchanges on a clock of its own: messages take time, are lost, and do
// not pass cuts; nodes are killed, started anew and frozen. What they believe of each other is
// told by the test, late and wrongly where it likes.
class quota_fleet {
public:
    using time_point = quota_exchange::time_point;

    struct plan {
        std::size_t zones = 3;
        std::size_t nodesOfZone = 8;
        // How many zones the nodes' settings name; 0 for as many as there are.
        std::size_t zonesTold = 0;
        quota_tolerance tolerance { 0.1, std::chrono::seconds(5), 20 };
        double lossOfMessages = 0.01;
        std::uint64_t seed = 1;
    };

    explicit quota_fleet(const plan&);

    void setQuota(const std::string& organisation, organisation_quota);
    void setDemand(std::vector<quota_demand> demand) { m_demand = std::move(demand); }

    // Nodes of one group reach each other; without groups all do.
    void cut(const std::map<std::size_t, int>& groupOfNode) { m_group = groupOfNode; }
    void kill(std::size_t node);
    void start(std::size_t node);
    void setFrozen(std::size_t node, bool frozen);

    // What every running node is told of the members: those that run and that it reaches, or,
    // with the view that it had before the cut, all that ran then.
    void spreadMembers(bool seesThroughCuts);
    // One node is told that only these are there.
    void mislead(std::size_t node, const std::set<std::size_t>& believed);

    void run(std::chrono::milliseconds);

    // Requests of the organisation that were let through, by time.
    const std::vector<time_point>& admitted(const std::string& organisation) { return m_admitted[organisation]; }
    std::size_t admittedSince(const std::string& organisation, time_point since);
    // Most that were let through in any window of the length.
    std::size_t mostIn(const std::string& organisation, std::chrono::milliseconds window);
    std::size_t asked(const std::string& organisation) const;
    // Requests that one counter for all, which knows everything at once, would have let through.
    std::size_t rightful(const std::string& organisation, organisation_quota) const;
    std::size_t messages() const { return m_messages; }
    std::size_t size() const { return m_nodes.size(); }
    std::size_t zoneOf(std::size_t node) const { return node / m_plan.nodesOfZone; }
    bool isRunning(std::size_t node) const { return m_nodes[node].exchange != nullptr; }
    time_point now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

private:
    struct fleet_node {
        member entry;
        std::unique_ptr<quota_exchange> exchange;
        bool frozen = false;
    };

    struct message_under_way {
        time_point arrives;
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        quota_message message;
        bool operator<(const message_under_way& other) const { return arrives > other.arrives; }
    };

    void post(std::uint64_t from, std::uint64_t to, const quota_message&);
    void deliver();
    void step();
    void demandAt(const quota_demand&);
    bool reaches(std::size_t from, std::size_t to) const;
    std::size_t indexOf(std::uint64_t memberId) const;
    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    plan m_plan;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::seconds(1000) };
    std::vector<fleet_node> m_nodes;
    std::map<std::uint64_t, std::size_t> m_index;
    std::map<std::size_t, int> m_group;
    std::priority_queue<message_under_way> m_underWay;
    std::vector<quota_demand> m_demand;
    route_configuration m_configuration;
    std::map<std::string, std::vector<time_point>> m_admitted;
    std::map<std::string, std::vector<time_point>> m_asked;
    std::size_t m_messages = 0;
};

}
