#pragma once

#include "RateLimitedServers/announcing_world.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

// Two servers that announce rate limits, nonsense and at last that they leave, while their nodes
// are killed, stopped and frozen, the servers start again, and the store goes away, all by one
// seed. Clients send at the other two nodes, which nothing disturbs.
class announcement_soak {
public:
    explicit announcement_soak(std::uint64_t seed);

    // Brings about so many events, one after the other, and ends the clients.
    void run(int events);

    // What broke the platform's rules on limits and on leaving; empty if nothing did.
    std::vector<std::string> violations();

    // Requests that reached the announcing servers from bound nodes, to see that the rules were tried.
    std::size_t boundArrivals();

    std::size_t served() const { return m_world.served(); }

private:
    using time_point = std::chrono::steady_clock::time_point;

    // The limit that one start of a server names from a moment on; no limit is infinite.
    struct announcement {
        time_point from;
        double limit = 0;
    };

    // The text of the header and the limit that it names.
    struct limit_text {
        const char* text;
        double limit;
    };

    static const std::vector<limit_text> limitTexts;

    void announceLimit(std::size_t which);
    void announceLimit(std::size_t which, const limit_text&);
    void restartServer(std::size_t which);
    void freeze(std::size_t which);
    void takeStoreAway();
    void leave(std::size_t which);
    void recordLimit(std::size_t which);
    std::vector<time_point> boundArrivalsAt(const std::string& start);
    void checkLimit(const std::string& start, std::vector<std::string>& found);
    void checkLeaving(const std::string& start, std::vector<std::string>& found);

    std::mt19937_64 m_random;
    announcing_world m_world { 4 };
    std::map<std::size_t, std::string> m_texts;
    std::map<std::size_t, double> m_limits;
    std::map<std::string, std::vector<announcement>> m_announcements;
    std::map<std::string, std::size_t> m_serverOf;
};

}
