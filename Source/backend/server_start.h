#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Identifies one start of a server. A server may restart under the same id and then has no state from
// before; its requests, connections and counters ended with the previous start.
struct server_start {
    std::string instanceId;
    // Start time by the server's own clock; nothing if the server does not report it, in which case
    // the id alone identifies the start.
    std::optional<std::chrono::system_clock::time_point> born = std::nullopt;
};

inline bool operator==(const server_start& left, const server_start& right)
{
    return left.instanceId == right.instanceId && left.born == right.born;
}

inline bool operator!=(const server_start& left, const server_start& right)
{
    return !(left == right);
}

// The start time in milliseconds since 1970; empty if the server does not report it.
std::string bornText(const server_start&);

// Hash of a start that is the same on every machine.
std::uint64_t hashOf(const server_start&);

// Whether both are starts of the same server and `left` is the later one. Starts with different ids
// are not compared, since their clocks may differ. A start with a start time is later than one of the
// same id without, since a server that reports its start time keeps reporting it.
inline bool isLaterStart(const server_start& left, const server_start& right)
{
    return left.instanceId == right.instanceId && left.born > right.born;
}

}
