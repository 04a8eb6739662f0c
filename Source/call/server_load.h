#pragma once

#include <cstdint>
#include <optional>

namespace vanillashunt {

// The load that a backend server reports with an answer.
struct server_load {
    // Requests that the server runs, requests that wait in it, and requests that it can run at
    // once.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Current duration of work on the server's machine relative to the usual duration: 1 at the
    // usual speed, 2.5 at two fifths of it. Nothing if the server does not report it.
    std::optional<double> slowdown;
};

}
