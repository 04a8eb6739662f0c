#pragma once

#include "call/server_load.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace vanillashunt {

// How fast the server beside this node works: at this moment, by what it tells of its
// machine, and usually, by the time that each class of requests has taken there. It
// answers the load of servers that differ in speed, and of machines that are shared
// with others and turn slow for parts of a second.
class server_pace {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Another start of the server: nothing that was learnt holds.
    void reset();

    // The server told its load. The node itself knows the slots that it announced and the calls
    // that it has with it; figures that contradict these are not believed.
    void updateLoad(const server_load&, std::uint32_t announcedSlots, std::uint32_t ownRunning, time_point now);

    // A call of the class has run at the server.
    void recordRun(const std::string& requestClass, std::chrono::microseconds);

    // Whether the server has told of its speed, so that what is known here is for others to use.
    bool isKnown(time_point now) const;

    // How much longer than usually work takes now; 1 where nothing was told lately.
    double slowdown(time_point now) const;

    // Whether a call is better run elsewhere, if there is room.
    bool isSlow(time_point now) const;

    // The time that a call of the class takes here; nothing before some have run, or where the
    // server does not tell its speed.
    std::optional<std::chrono::microseconds> meanServiceTime(const std::string& requestClass, time_point now) const;

    // Figures that contradicted what the node itself knows.
    std::uint64_t contradictions() const { return m_contradictions; }

private:
    struct class_time {
        double microseconds = 0;
        std::uint32_t runs = 0;
    };

    bool contradicts(const server_load&, std::uint32_t announcedSlots, std::uint32_t ownRunning) const;

    std::unordered_map<std::string, class_time> m_times;
    double m_slowdown = 1;
    std::optional<time_point> m_told;
    std::optional<time_point> m_contradicted;
    std::uint64_t m_contradictions = 0;
};

}
