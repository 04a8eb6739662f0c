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

// A fleet of real quota exchanges on a simulated clock and network: messages take time, may be
// lost, and do not cross partitions; nodes can be killed, restarted and frozen. The test sets each
// node's view of the members, which may be late or wrong.
class quota_fleet {
public:
    using time_point = quota_exchange::time_point;

    struct plan {
        std::size_t zones = 3;
        std::size_t nodesPerZone = 8;
        // Number of zones in the nodes' settings; 0 for the real number.
        std::size_t configuredZones = 0;
        quota_tolerance tolerance { 0.1, std::chrono::seconds(5), 20 };
        double messageLoss = 0.01;
        std::uint64_t seed = 1;
    };

    explicit quota_fleet(const plan&);

    void setQuota(const std::string& organisation, organisation_quota);
    void setDemand(std::vector<quota_demand> demand) { m_demand = std::move(demand); }

    // Only nodes of the same group reach each other; nodes without a group form group 0.
    void partition(const std::map<std::size_t, int>& groups) { m_groups = groups; }
    void kill(std::size_t node);
    void start(std::size_t node);
    void setFrozen(std::size_t node, bool frozen);

    // Updates the view of every running node: it contains the running nodes that it reaches, or
    // all running nodes if partitions are ignored, as before the partition is noticed.
    void updateViews(bool ignorePartitions);
    // Sets the view of one node: itself and these nodes.
    void setView(std::size_t node, const std::set<std::size_t>& view);

    void run(std::chrono::milliseconds);

    // Times at which requests of the organisation were admitted, in ascending order.
    const std::vector<time_point>& admitted(const std::string& organisation) { return m_admitted[organisation]; }
    std::size_t admittedSince(const std::string& organisation, time_point since);
    // The most requests admitted in any window of the length.
    std::size_t maxAdmittedIn(const std::string& organisation, std::chrono::milliseconds window);
    std::size_t asked(const std::string& organisation) const;
    // The number of requests that a central token bucket would have admitted.
    std::size_t idealAdmissions(const std::string& organisation, organisation_quota) const;
    std::size_t messages() const { return m_messages; }
    std::size_t size() const { return m_nodes.size(); }
    std::size_t zoneOf(std::size_t node) const { return node / m_plan.nodesPerZone; }
    bool isRunning(std::size_t node) const { return m_nodes[node].exchange != nullptr; }
    time_point now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

private:
    struct fleet_node {
        member entry;
        std::unique_ptr<quota_exchange> exchange;
        bool frozen = false;
    };

    struct message_in_flight {
        time_point arrives;
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        quota_message message;
        bool operator<(const message_in_flight& other) const { return arrives > other.arrives; }
    };

    void transmit(std::uint64_t from, std::uint64_t to, const quota_message&);
    void deliver();
    void step();
    void generateDemand(const quota_demand&);
    bool reaches(std::size_t from, std::size_t to) const;
    std::size_t indexOf(std::uint64_t memberId) const;
    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    plan m_plan;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::seconds(1000) };
    std::vector<fleet_node> m_nodes;
    std::map<std::uint64_t, std::size_t> m_index;
    std::map<std::size_t, int> m_groups;
    std::priority_queue<message_in_flight> m_inFlight;
    std::vector<quota_demand> m_demand;
    route_configuration m_configuration;
    std::map<std::string, std::vector<time_point>> m_admitted;
    std::map<std::string, std::vector<time_point>> m_asked;
    std::size_t m_messages = 0;
};

}
