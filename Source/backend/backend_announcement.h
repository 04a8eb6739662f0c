#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace vanillashunt {

// What a backend server tells its own node about itself.
struct backend_announcement {
    std::string service;
    // Where it serves: "IP:port".
    std::string address;
    // Calls that it works on at once.
    std::uint32_t slots = 0;
    // Connections that it accepts.
    std::uint32_t connections = 0;
    // Time from its start until it is at full speed.
    std::chrono::milliseconds coldStart { 0 };
    // Paths of its load and health endpoints; empty where it has none.
    std::string loadPath;
    std::string healthPath;
};

// What is wrong with an announcement, and the mend.
struct announcement_problem {
    std::string message;
};

using parse_announcement_result = std::variant<backend_announcement, announcement_problem>;

// Reads the JSON object of docs/design/headers.md.
parse_announcement_result parseAnnouncement(const std::string& text);

}
