#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillashunt {

// Names one start of a server. A server may start again under the same id, and then
// knows nothing of before; its requests, connections and counts ended with the last start.
struct server_start {
    std::string instanceId;
    // When it started, by its own clock; nothing where the server does not say, so that
    // its id alone names the start.
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

// The same for the same start, on every machine.
std::uint64_t hashOf(const server_start&);

// Whether both are starts of one server, and the first came after the second. Starts
// of different ids are not compared: their clocks may differ. A start that is known by
// its time comes after one of the same id that is not, since a server that tells its
// start goes on to do so.
inline bool isLaterStart(const server_start& left, const server_start& right)
{
    return left.instanceId == right.instanceId && left.born > right.born;
}

}
