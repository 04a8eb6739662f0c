#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace vanillashunt {

// What a backend server announces about itself to its own node.
struct backend_announcement {
    std::string service;
    // Address that it listens on: "IP:port".
    std::string address;
    // Maximum number of calls that it processes concurrently.
    std::uint32_t slots = 0;
    // Maximum number of connections that it accepts.
    std::uint32_t connections = 0;
    // Time from its start until it reaches full speed.
    std::chrono::milliseconds coldStart { 0 };
    // Paths of its load and health endpoints; empty if it has none.
    std::string loadPath;
    std::string healthPath;
};

// Why an announcement is rejected and how to correct it.
struct announcement_problem {
    std::string message;
};

using parse_announcement_result = std::variant<backend_announcement, announcement_problem>;

// Parses the JSON object that docs/design/headers.md specifies.
parse_announcement_result parseAnnouncement(const std::string& text);

}
