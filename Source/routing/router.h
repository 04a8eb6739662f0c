#pragma once

#include "decision/member.h"
#include "routing/target_view.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillashunt {

struct route_request {
    std::string service;
    // Ids of the members that earlier attempts of this call were sent to.
    std::vector<std::uint64_t> tried;
    // Whether servers of the service are likely to have free slots, so that the faster ones can be
    // preferred. Otherwise each server gets calls in proportion to its throughput.
    bool hasFreeSlots = true;
};

// What a node knows of one member that it has sent calls to.
struct target_status {
    std::string name;
    std::string service;
    // Calls at the member divided by its limit, and the limit.
    double load = 0;
    std::uint32_t limit = 0;
    // Service time relative to the mean, if the member reports it; 2 is twice as slow.
    std::optional<double> pace;
};

// Location of a node, from which its distance to the members follows.
struct node_location {
    std::string availabilityZone;
    std::string region;
};

// Chooses the member that a call goes to, from what this node has observed itself. Two members of
// the node's own availability zone are drawn at random, and the less loaded one is taken. If
// members report their pace, they are drawn in proportion to their throughput, and the one with
// the shorter expected response time is taken. If a member has a rate limit, they are drawn in
// proportion to the calls that they run. A call goes to another zone if the own zone is full,
// if no member of it responds, or if fewer of the calls that follow then go to other zones.
class router {
public:
    // Returns a random number below its argument.
    using random_function = std::function<std::uint64_t(std::uint64_t bound)>;

    router(node_location, random_function);

    void setMembers(member_list, std::chrono::steady_clock::time_point now);

    // Returns nothing if no member can take the call.
    std::optional<member> choose(const route_request&, std::chrono::steady_clock::time_point now);

    // Returns the member of the service that all nodes choose for the key if they know the same
    // members; nothing if no member can be reached.
    std::optional<member> chooseByKey(const std::string& service, std::uint64_t key) const;

    // Returns nothing if no current member has the id.
    std::optional<member> find(std::uint64_t memberId) const;

    // Whether the member reported its load recently and is chosen by this load. This is false for
    // a member that reports its pace: a fast one is chosen even if it is nearly full, or slow for
    // a moment. It is also false for a member with a rate limit, which is used up by calls that have
    // ended, too.
    bool reliesOnRecentLoad(std::uint64_t memberId, std::chrono::steady_clock::time_point now) const;

    std::vector<target_status> targetStatuses(std::chrono::steady_clock::time_point now) const;

    // Whether any member, in any state, announces the service.
    bool knowsService(const std::string& service) const;

    void started(std::uint64_t memberId, std::chrono::steady_clock::time_point now);
    void finished(std::uint64_t memberId, const route_outcome&, std::chrono::steady_clock::time_point now);

    // Ends an attempt that was cancelled before it had an outcome.
    void cancelled(std::uint64_t memberId, std::chrono::steady_clock::time_point now);

private:
    struct candidate {
        const member* target = nullptr;
        double load = 0;
        // Expected calls to other zones if this target is chosen, including the call itself.
        double zoneCrossings = 0;
        // Service time relative to the mean, if the target reports it.
        std::optional<double> pace {};
        std::uint32_t limit = 1;
        bool isRateLimited = false;
    };

    // Returns 0 in the own zone, 1 elsewhere in the own region, and 2 in other regions.
    int distance(const member&) const;
    // With wantAvoided only the members that are avoided now, otherwise only the others.
    std::vector<candidate> candidatesAt(int distance, bool wantAvoided, const route_request&, std::chrono::steady_clock::time_point now) const;
    static void keepFewestCrossings(std::vector<candidate>&);
    std::optional<candidate> chooseBetterOfTwo(const std::vector<candidate>&, bool hasFreeSlots) const;
    const candidate& drawByCapacity(const std::vector<candidate>&) const;
    std::optional<candidate> chooseNearest(bool wantAvoided, const route_request&, std::chrono::steady_clock::time_point now) const;

    node_location m_location;
    random_function m_random;
    member_list m_members;
    std::unordered_map<std::string, std::vector<const member*>> m_byService;
    std::unordered_map<std::uint64_t, const member*> m_byId;
    std::unordered_map<std::uint64_t, target_view> m_views;
};

}
