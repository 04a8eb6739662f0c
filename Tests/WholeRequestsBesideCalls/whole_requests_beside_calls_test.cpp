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

    // What the server gets: calls of 22 ms that runs of other services make, and whole
    // requests of 72 ms.
    struct mixed_load {
        double callsPerSecond = 0;
        double requestsPerSecond = 0;
        importance requestLevel = importance::Deferrable;
    };

    struct mixed_outcome {
        int requests = 0;
        // Ended within the time in which an answer is of full use.
        int requestsInTime = 0;
        int requestsRefused = 0;
        int calls = 0;
        int callsEnded = 0;
    };

    // One server behind the gate of its node.
    class mixed_server {
    public:
        explicit mixed_server(const mixed_load& load)
            : m_load(load)
        {
            m_gate.setSlots(slots, m_now);
        }

        mixed_outcome play(std::chrono::seconds length)
        {
            for (auto end = m_now + length; m_now < end; m_now += milliseconds(1)) {
                endDue();
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
            time_point came;
            bool begun = false;
        };

        void arrive(bool begun)
        {
            admission_request call;
            call.callId = ++m_lastId;
            auto level = begun ? importance::Deferrable : m_load.requestLevel;
            call.position = static_cast<shedding_position>(level) * positionsPerImportance + static_cast<shedding_position>(m_random() % positionsPerImportance);
            call.deadline = m_now + milliseconds(begun ? 700 : 1000);
            call.requestClass = begun ? "status" : "register";
            call.begun = begun;
            ++(begun ? m_outcome.calls : m_outcome.requests);
            m_arrivals[call.callId] = { m_now, begun };
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
            auto mean = m_arrivals.at(callId).begun ? 22.0 : 72.0;
            auto time = std::chrono::microseconds(std::llround(1000 * mean * (0.5 + 0.5 * spread(m_random))));
            m_ends.emplace(m_now + time, callId);
            m_started[callId] = m_now;
        }

        void refused(std::uint64_t callId)
        {
            m_outcome.requestsRefused += m_arrivals.at(callId).begun ? 0 : 1;
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

        void endDue()
        {
            while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
                auto callId = m_ends.begin()->second;
                m_ends.erase(m_ends.begin());
                auto ended = m_arrivals.at(callId);
                auto time = std::chrono::duration_cast<std::chrono::microseconds>(m_now - m_started.at(callId));
                m_gate.finish(callId, { time, false }, m_now);
                m_outcome.callsEnded += ended.begun ? 1 : 0;
                m_outcome.requestsInTime += !ended.begun && m_now - ended.came <= inTime ? 1 : 0;
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

    double part(int some, int all) { return static_cast<double>(some) / all; }

}

// The load: one of three servers of a laboratory's sample registry, which engineers'
// lookups call eight times each; new samples are registered there, too. Calls alone fill
// the slots 0.95 (1,300 a second of 22 ms on 30 slots), and the registrations are as many
// as one server of three gets on a busy day.
TEST(WholeRequestsBesideCalls, AreAnsweredInTimeWhenCallsFillTheServer)
{
    for (double calls : { 1250.0, 1300.0, 1350.0 }) {
        auto seen = mixed_server({ calls, 15 }).play(std::chrono::seconds(20));
        RecordProperty("requests_in_time_at_" + std::to_string(std::lround(calls)), std::to_string(part(seen.requestsInTime, seen.requests)));
        RecordProperty("calls_ended_at_" + std::to_string(std::lround(calls)), std::to_string(part(seen.callsEnded, seen.calls)));
        EXPECT_GT(part(seen.requestsInTime, seen.requests), 0.6) << calls << " calls a second";
        EXPECT_GT(part(seen.callsEnded, seen.calls), 0.9) << calls << " calls a second";
    }
}

// Importance comes first: a confirmed request waits for no lesser request's calls.
TEST(WholeRequestsBesideCalls, GoBeforeCallsOfLesserRequests)
{
    auto seen = mixed_server({ 1400, 15, importance::Confirmed }).play(std::chrono::seconds(20));
    EXPECT_EQ(seen.requestsRefused, 0);
    EXPECT_GT(part(seen.requestsInTime, seen.requests), 0.9);
}

}
