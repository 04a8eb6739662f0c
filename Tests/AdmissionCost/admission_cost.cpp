// Measures the time that the gate takes for one call: the decision, its start or refusal,
// and its end.

#include "admission/admission_gate.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;

    constexpr std::uint32_t slots = 120;
    constexpr std::chrono::microseconds service { 10000 };
    constexpr std::size_t preparedCount = 1 << 16;

    // Random calls of several organisations, drawn before the measurement.
    std::vector<admission_request> drawRequests(int organisations)
    {
        std::mt19937 random(1);
        std::vector<admission_request> requests(preparedCount);
        for (auto& request : requests) {
            request.position = random() % sheddingPositionCount;
            request.organisation = "customer-" + std::to_string(random() % organisations);
            request.requestClass = "class-" + std::to_string(random() % 8);
        }
        return requests;
    }

    // Calls arrive evenly at a multiple of the capacity. Each iteration is one arrival,
    // with the ends and starts of other calls that are due by then.
    void admission(benchmark::State& state)
    {
        auto load = static_cast<double>(state.range(0)) / 10;
        auto requests = drawRequests(static_cast<int>(state.range(1)));
        auto gap = std::chrono::nanoseconds(static_cast<std::int64_t>(service.count() * 1000.0 / slots / load));
        admission_gate gate;
        time_point now { std::chrono::hours(1) };
        gate.setSlots(slots, now);
        struct running_call {
            std::uint64_t callId;
            time_point started;
        };
        std::deque<running_call> running;
        std::uint64_t callId = 0;
        auto startReleased = [&] {
            for (const auto& released : gate.release(now)) {
                if (released.decision.outcome == admission_outcome::Run) {
                    running.push_back({ released.callId, now });
                }
            }
        };
        for (auto _ : state) {
            now += gap;
            while (!running.empty() && running.front().started + service <= now) {
                gate.finish(running.front().callId, { service, false }, now);
                running.pop_front();
                startReleased();
            }
            auto& request = requests[callId % preparedCount];
            request.callId = ++callId;
            request.deadline = now + std::chrono::seconds(1);
            auto decision = gate.arrive(request, now);
            if (decision.outcome == admission_outcome::Run) {
                running.push_back({ callId, now });
            }
            startReleased();
        }
        state.SetItemsProcessed(state.iterations());
    }

}

// Arguments: load in tenths of the capacity, number of organisations.
BENCHMARK(admission)->Args({ 5, 1 })->Args({ 11, 10 })->Args({ 50, 1 })->Args({ 50, 100 })->Args({ 50, 1000 });

}

BENCHMARK_MAIN();
