#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace vanillashunt {

using model_time = std::chrono::steady_clock::time_point;

// One backend server as it really is, which may differ from what it announces.
struct backend_truth {
    // Calls that it works on at once; further ones queue inside.
    std::uint32_t slots = 40;
    // Calls that may queue inside before it refuses.
    std::uint32_t insideQueue = 1000000;
    std::chrono::microseconds meanService { 20000 };
    // Part of the service time that is drawn from an exponential distribution.
    double randomPart = 0.5;
};

// The limit under test, whatever it is made of.
struct limit_under_test {
    std::function<std::uint32_t(model_time now)> get;
    std::function<void(std::chrono::microseconds duration, bool refused, std::uint32_t inFlight, model_time now)> finished;
};

struct model_second {
    double goodput = 0;
    std::chrono::microseconds p50 { 0 };
    std::chrono::microseconds p99 { 0 };
    std::uint32_t limit = 0;
    std::uint32_t refused = 0;
};

// A deterministic model of one backend server under as much load as the limit
// lets through, second by second.
class backend_model {
public:
    backend_model(backend_truth, limit_under_test, std::uint32_t seed);

    // What is true of the server from now on; what runs already is not changed.
    void setTruth(const backend_truth& truth) { m_truth = truth; }

    model_second runSecond();

private:
    struct call {
        model_time end;
        model_time sent;
        bool refused;
        bool operator<(const call& other) const { return end > other.end; }
    };

    void send();
    void startNext();
    std::chrono::microseconds drawService();

    backend_truth m_truth;
    limit_under_test m_limit;
    std::mt19937 m_random;
    model_time m_now { std::chrono::hours(1) };
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_working = 0;
    // When each call that queues inside was sent.
    std::deque<model_time> m_inside;
    std::priority_queue<call> m_ends;
};

}
