#pragma once

#include "decision/member.h"
#include "decision/shedding_position.h"
#include "decision/verdict.h"

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
    shedding_position position = 0;
    // Members that earlier attempts of this call have tried.
    std::vector<std::uint64_t> tried;
};

// What an attempt told of the member that it went to.
struct route_outcome {
    verdict result;
    std::chrono::microseconds latency { 0 };
    shedding_position cut = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
};

// Chooses the member that a call goes to, by what this node has seen of each.
class router {
public:
    // Returns a random number below its argument.
    using chance_hook = std::function<std::uint64_t(std::uint64_t bound)>;

    router(std::string ownZone, chance_hook);

    void setMembers(member_list, std::chrono::steady_clock::time_point now);

    // Returns nothing where no member can take the call.
    std::optional<member> choose(const route_request&, std::chrono::steady_clock::time_point now);

    // Returns nothing for an id that is not, or no longer, a member's.
    std::optional<member> find(std::uint64_t memberId) const;

    void started(std::uint64_t memberId, std::chrono::steady_clock::time_point now);
    void finished(std::uint64_t memberId, const route_outcome&, std::chrono::steady_clock::time_point now);

    // For an attempt that was cancelled before it brought an outcome.
    void cancelled(std::uint64_t memberId, std::chrono::steady_clock::time_point now);

private:
    std::string m_ownZone;
    chance_hook m_chance;
    member_list m_members;
    std::unordered_map<std::uint64_t, std::uint32_t> m_outstanding;
};

}
