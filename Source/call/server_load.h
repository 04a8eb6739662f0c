#pragma once

#include <cstdint>
#include <optional>

namespace vanillashunt {

// What a server says of its own load as it answers.
struct server_load {
    // Requests that it runs, that wait in it, and that it can run at once.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes on its machine at this moment, against the usual time: 1 as usual,
    // 2.5 at two fifths of the speed. Nothing where the server does not tell.
    std::optional<double> slowdown;
};

}
