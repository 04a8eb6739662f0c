#include "admission/admission_gate.h"
#include "admission/usable_slots.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace vanillashunt {

namespace {

    using std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    // A gate and a simulated server whose calls take longer from a number of running calls on,
    // the knee of its latency curve.
    class knee_server {
    public:
        knee_server(std::uint32_t announced, double kneeFraction, double slowdown, std::uint32_t usedSlots)
            : m_knee(announced * kneeFraction)
            , m_slowdown(slowdown)
        {
            m_gate.setSlots(usedSlots, m_now);
        }

        // The number of calls that end in five seconds of twice the load that the server can
        // complete.
        int simulate()
        {
            int ended = 0;
            for (int step = 0; step < 5000; ++step) {
                m_now += milliseconds(1);
                m_arrivalsDue += 2.0 * m_knee / callTime.count();
                for (; m_arrivalsDue >= 1; m_arrivalsDue -= 1) {
                    arrive();
                }
                ended += finishDueCalls();
            }
            return ended;
        }

    private:
        static constexpr milliseconds callTime { 30 };

        void arrive()
        {
            admission_request call;
            call.callId = ++m_lastId;
            call.position = static_cast<shedding_position>(m_lastId * 2654435761U % positionsPerImportance);
            call.deadline = m_now + milliseconds(700);
            if (m_gate.arrive(call, m_now).outcome == admission_outcome::Run) {
                start(call.callId);
            }
            startReleased();
        }

        void start(std::uint64_t callId)
        {
            bool nearlyFull = static_cast<double>(m_ends.size() + 1) >= m_knee;
            auto time = nearlyFull ? m_slowdown * callTime : std::chrono::duration<double, std::milli>(callTime);
            m_ends.emplace(m_now + std::chrono::duration_cast<std::chrono::microseconds>(time), callId);
        }

        void startReleased()
        {
            for (const auto& released : m_gate.release(m_now)) {
                if (released.decision.outcome == admission_outcome::Run) {
                    start(released.callId);
                }
            }
        }

        int finishDueCalls()
        {
            int ended = 0;
            while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
                m_gate.finish(m_ends.begin()->second, { callTime, false }, m_now);
                m_ends.erase(m_ends.begin());
                ++ended;
            }
            startReleased();
            return ended;
        }

        double m_knee;
        double m_slowdown;
        time_point m_now { std::chrono::seconds(100) };
        admission_gate m_gate;
        std::multimap<time_point, std::uint64_t> m_ends;
        double m_arrivalsDue = 0;
        std::uint64_t m_lastId = 0;
    };

}

// The load: the deepest service of both test meshes is overloaded for twenty seconds. Its
// servers have 22 to 29 slots, and calls take 1.3 times as long from 0.95 of the slots on.
TEST(NearlyFullServers, EndMoreWithAFewSlotsFree)
{
    for (std::uint32_t announced : { 22U, 24U, 28U, 29U }) {
        auto allSlots = knee_server(announced, 0.95, 1.3, announced).simulate();
        auto usable = knee_server(announced, 0.95, 1.3, usableSlots(announced)).simulate();
        EXPECT_GT(usable, 1.12 * allSlots) << announced << " slots";
    }
    // With many slots the concurrency limit itself detects that fewer calls are faster.
    EXPECT_GT(knee_server(139, 0.95, 1.3, usableSlots(139)).simulate(), knee_server(139, 0.95, 1.3, 139).simulate());
}

TEST(NearlyFullServers, LoseLittleWhereTheyAreAsFastWhenFull)
{
    for (std::uint32_t announced : { 22U, 24U, 28U, 29U, 139U }) {
        auto allSlots = knee_server(announced, 0.95, 1, announced).simulate();
        auto usable = knee_server(announced, 0.95, 1, usableSlots(announced)).simulate();
        EXPECT_GT(usable, 0.9 * allSlots) << announced << " slots";
    }
}

TEST(NearlyFullServers, KeepEverySlotWhereThereAreFew)
{
    for (std::uint32_t announced = 0; announced <= 4; ++announced) {
        EXPECT_EQ(usableSlots(announced), announced);
    }
    EXPECT_EQ(usableSlots(5), 4U);
}

}
