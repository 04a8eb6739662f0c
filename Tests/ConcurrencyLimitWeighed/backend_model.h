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

// The actual behaviour of a backend server, which may differ from what it announces.
struct backend_behaviour {
    // Calls that it works on at once; further ones wait in its internal queue.
    std::uint32_t slots = 40;
    // Calls that may wait in the internal queue before the server refuses.
    std::uint32_t internalQueueBound = 1000000;
    std::chrono::microseconds meanService { 20000 };
    // Fraction of the service time that is drawn from an exponential distribution.
    double randomFraction = 0.5;
};

// The operations of the concurrency limit under test.
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

// A deterministic model of one backend server that always has as many calls in flight as
// the limit allows. Runs second by second.
class backend_model {
public:
    backend_model(backend_behaviour, limit_under_test, std::uint32_t seed);

    // Changes the behaviour of the server from now on; calls that run already keep their
    // service time.
    void setBehaviour(const backend_behaviour& behaviour) { m_behaviour = behaviour; }

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

    backend_behaviour m_behaviour;
    limit_under_test m_limit;
    std::mt19937 m_random;
    model_time m_now { std::chrono::hours(1) };
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_working = 0;
    // The times at which the calls in the internal queue were sent.
    std::deque<model_time> m_internalQueue;
    std::priority_queue<call> m_ends;
};

}
