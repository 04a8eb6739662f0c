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
    // Members that earlier attempts of this call have tried.
    std::vector<std::uint64_t> tried;
    // Whether servers of the service have room, so that the faster ones can be chosen. Otherwise
    // each gets work in proportion to what it ends.
    bool hasRoom = true;
};

// How a node sees one member that it has sent calls to.
struct target_status {
    std::string name;
    std::string service;
    double load = 0;
    std::uint32_t limit = 0;
    // How much longer than the mean a call takes there, if it tells.
    std::optional<double> pace;
};

// Where a node stands, for the distance to the members.
struct node_location {
    std::string availabilityZone;
    std::string region;
};

// Chooses the member that a call goes to: in the own availability zone first,
// the less loaded of two drawn at random, by what this node has seen itself; in
// where the members tell their pace, each is drawn in proportion to what it ends, and
// the one with the shorter expected time is taken. A member goes to
// another zone where the own one is full, or has nobody who answers, or where fewer
// of the calls that follow go to other zones.
class router {
public:
    // Returns a random number below its argument.
    using chance_hook = std::function<std::uint64_t(std::uint64_t bound)>;

    router(node_location, chance_hook);

    void setMembers(member_list, std::chrono::steady_clock::time_point now);

    // Returns nothing where no member can take the call.
    std::optional<member> choose(const route_request&, std::chrono::steady_clock::time_point now);

    // The member of the service that all nodes agree on for the key, as far as they know the
    // same members; nothing where none can be reached.
    std::optional<member> chooseByKey(const std::string& service, std::uint64_t key) const;

    // Returns nothing for an id that is not, or no longer, a member's.
    std::optional<member> find(std::uint64_t memberId) const;

    // Whether the member told its load a moment ago and was chosen for it. Where members tell
    // their pace a fast one is chosen also when it is nearly full, and slow for a moment.
    bool reliesOnRecentLoad(std::uint64_t memberId, std::chrono::steady_clock::time_point now) const;

    std::vector<target_status> targetStatuses(std::chrono::steady_clock::time_point now) const;

    // Whether any member, in whatever state, announces the service.
    bool knowsService(const std::string& service) const;

    void started(std::uint64_t memberId, std::chrono::steady_clock::time_point now);
    void finished(std::uint64_t memberId, const route_outcome&, std::chrono::steady_clock::time_point now);

    // For an attempt that was cancelled before it brought an outcome.
    void cancelled(std::uint64_t memberId, std::chrono::steady_clock::time_point now);

private:
    struct candidate {
        const member* target = nullptr;
        double load = 0;
        // Calls to other zones that the choice brings about, with the call itself.
        double zoneCrossings = 0;
        // How much longer than the mean a call takes there, if it tells.
        std::optional<double> pace {};
        std::uint32_t limit = 1;
    };

    // Lower is nearer: own zone, own region, elsewhere.
    int distance(const member&) const;
    std::vector<candidate> candidatesAt(int distance, bool avoided, const route_request&, std::chrono::steady_clock::time_point now) const;
    static void keepFewestCrossings(std::vector<candidate>&);
    std::optional<candidate> drawTwo(const std::vector<candidate>&, bool hasRoom) const;
    const candidate& drawByCapacity(const std::vector<candidate>&) const;
    std::optional<candidate> chooseNearest(bool avoided, const route_request&, std::chrono::steady_clock::time_point now) const;

    node_location m_place;
    chance_hook m_chance;
    member_list m_members;
    std::unordered_map<std::string, std::vector<const member*>> m_byService;
    std::unordered_map<std::uint64_t, const member*> m_byId;
    std::unordered_map<std::uint64_t, target_view> m_views;
};

}
