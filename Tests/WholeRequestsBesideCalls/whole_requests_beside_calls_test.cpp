#include "admission/admission_gate.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <unordered_map>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    constexpr std::uint32_t slots = 30;

    // The load of the server: nested calls of 22 ms from other services, and top-level
    // requests of 72 ms.
    struct mixed_load {
        double callsPerSecond = 0;
        double requestsPerSecond = 0;
        importance requestLevel = importance::Deferrable;
    };

    struct mixed_outcome {
        int requests = 0;
        // Requests that ended within inTime, while the answer is of full use.
        int requestsInTime = 0;
        int requestsRefused = 0;
        int calls = 0;
        int callsEnded = 0;
    };

    // A gate and a simulated server.
    class mixed_server {
    public:
        explicit mixed_server(const mixed_load& load)
            : m_load(load)
        {
            m_gate.setSlots(slots, m_now);
        }

        mixed_outcome simulate(std::chrono::seconds length)
        {
            for (auto end = m_now + length; m_now < end; m_now += milliseconds(1)) {
                finishDueCalls();
                m_callsDue += m_load.callsPerSecond / 1000;
                m_requestsDue += m_load.requestsPerSecond / 1000;
                for (; m_callsDue >= 1; m_callsDue -= 1) {
                    arrive(true);
                }
                for (; m_requestsDue >= 1; m_requestsDue -= 1) {
                    arrive(false);
                }
                startReleased();
            }
            return m_outcome;
        }

    private:
        static constexpr milliseconds inTime { 250 };

        struct arrival {
            time_point arrived;
            bool nested = false;
        };

        void arrive(bool nested)
        {
            admission_request call;
            call.callId = ++m_lastId;
            auto level = nested ? importance::Deferrable : m_load.requestLevel;
            call.position = static_cast<shedding_position>(level) * positionsPerImportance + static_cast<shedding_position>(m_random() % positionsPerImportance);
            call.deadline = m_now + milliseconds(nested ? 700 : 1000);
            call.requestClass = nested ? "status" : "register";
            call.nested = nested;
            ++(nested ? m_outcome.calls : m_outcome.requests);
            m_arrivals[call.callId] = { m_now, nested };
            auto decision = m_gate.arrive(call, m_now);
            if (decision.outcome == admission_outcome::Run) {
                start(call.callId);
            } else if (decision.outcome == admission_outcome::Refuse) {
                refused(call.callId);
            }
            startReleased();
        }

        void start(std::uint64_t callId)
        {
            std::exponential_distribution<double> spread(1);
            auto mean = m_arrivals.at(callId).nested ? 22.0 : 72.0;
            auto time = std::chrono::microseconds(std::llround(1000 * mean * (0.5 + 0.5 * spread(m_random))));
            m_ends.emplace(m_now + time, callId);
            m_started[callId] = m_now;
        }

        void refused(std::uint64_t callId)
        {
            m_outcome.requestsRefused += m_arrivals.at(callId).nested ? 0 : 1;
            m_arrivals.erase(callId);
        }

        void startReleased()
        {
            for (const auto& released : m_gate.release(m_now)) {
                if (released.decision.outcome == admission_outcome::Run) {
                    start(released.callId);
                } else {
                    refused(released.callId);
                }
            }
        }

        void finishDueCalls()
        {
            while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
                auto callId = m_ends.begin()->second;
                m_ends.erase(m_ends.begin());
                auto ended = m_arrivals.at(callId);
                auto time = std::chrono::duration_cast<std::chrono::microseconds>(m_now - m_started.at(callId));
                m_gate.finish(callId, { time, false }, m_now);
                m_outcome.callsEnded += ended.nested ? 1 : 0;
                m_outcome.requestsInTime += !ended.nested && m_now - ended.arrived <= inTime ? 1 : 0;
                m_started.erase(callId);
                m_arrivals.erase(callId);
                startReleased();
            }
        }

        mixed_load m_load;
        time_point m_now { std::chrono::seconds(100) };
        std::mt19937_64 m_random { 7 };
        admission_gate m_gate;
        std::unordered_map<std::uint64_t, arrival> m_arrivals;
        std::unordered_map<std::uint64_t, time_point> m_started;
        std::multimap<time_point, std::uint64_t> m_ends;
        double m_callsDue = 0;
        double m_requestsDue = 0;
        std::uint64_t m_lastId = 0;
        mixed_outcome m_outcome;
    };

    double fraction(int count, int all) { return static_cast<double>(count) / all; }

}

// The gate must not starve top-level requests that its cut admits because nested calls alone
// nearly fill the server. The load is that of one of three servers of a sample registry, which
// each lookup of an engineer calls eight times and where new samples are registered. The
// nested calls alone fill 0.95 of the slots (1,300 per second of 22 ms on 30 slots), and the
// registrations are as many as one server of three receives on a busy day.
TEST(WholeRequestsBesideCalls, AreAnsweredInTimeWhenCallsFillTheServer)
{
    for (double calls : { 1250.0, 1300.0, 1350.0 }) {
        auto result = mixed_server({ calls, 15 }).simulate(std::chrono::seconds(20));
        RecordProperty("requests_in_time_at_" + std::to_string(std::lround(calls)), std::to_string(fraction(result.requestsInTime, result.requests)));
        RecordProperty("calls_ended_at_" + std::to_string(std::lround(calls)), std::to_string(fraction(result.callsEnded, result.calls)));
        EXPECT_GT(fraction(result.requestsInTime, result.requests), 0.6) << calls << " calls a second";
        EXPECT_GT(fraction(result.callsEnded, result.calls), 0.9) << calls << " calls a second";
    }
}

// Importance comes first: a confirmed request does not wait for nested calls of less important
// requests.
TEST(WholeRequestsBesideCalls, GoBeforeCallsOfLesserRequests)
{
    auto result = mixed_server({ 1400, 15, importance::Confirmed }).simulate(std::chrono::seconds(20));
    EXPECT_EQ(result.requestsRefused, 0);
    EXPECT_GT(fraction(result.requestsInTime, result.requests), 0.9);
}

}
