#include "Harness/sliding_window.h"
#include "admission/admission_gate.h"
#include "admission/rate_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr seconds window { 4 };
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;

    double allowed(double rate)
    {
        return tolerance * rate * std::chrono::duration<double>(window).count() + slack;
    }

    // A gate with free slots and far more demand than its rate limit allows.
    class limited_gate {
    public:
        explicit limited_gate(double rate)
            : m_gate(settings())
        {
            m_gate.setSlots(50, now);
            m_gate.setRateLimit(rate, now);
        }

        // Offers calls at this rate for so long; each takes 100 ms.
        void offer(double callsPerSecond, milliseconds length, const std::vector<importance>& levels)
        {
            for (auto end = now + length; now < end; now += milliseconds(5)) {
                finishCalls();
                m_owed += callsPerSecond * 0.005;
                for (; m_owed >= 1; --m_owed) {
                    arrive(levels[m_random() % levels.size()]);
                }
                collect();
            }
        }

        admission_gate& gate() { return m_gate; }

        time_point now { seconds(1000) };
        std::vector<time_point> starts;
        // Indexed by importance.
        std::array<int, importanceCount> arrived {};
        std::array<int, importanceCount> started {};
        std::vector<milliseconds> retryDelays;

    private:
        admission_settings settings()
        {
            admission_settings result;
            result.randomBelow = [this](std::uint64_t bound) { return m_random() % bound; };
            return result;
        }

        void arrive(importance level)
        {
            admission_request request;
            request.callId = ++m_lastId;
            request.position = static_cast<shedding_position>(level) * positionsPerImportance + static_cast<shedding_position>(m_random() % positionsPerImportance);
            request.deadline = now + seconds(5);
            request.requestClass = "read";
            m_levels[request.callId] = level;
            ++arrived[static_cast<std::size_t>(level)];
            decided(request.callId, m_gate.arrive(request, now));
            collect();
        }

        void decided(std::uint64_t callId, const admission_decision& decision)
        {
            if (decision.outcome == admission_outcome::Run) {
                starts.push_back(now);
                ++started[static_cast<std::size_t>(m_levels.at(callId))];
                m_running.push_back({ callId, now + milliseconds(100) });
            } else if (decision.outcome == admission_outcome::Refuse) {
                retryDelays.push_back(decision.refusal.retryAfter);
            }
        }

        void collect()
        {
            for (const auto& released : m_gate.release(now)) {
                decided(released.callId, released.decision);
            }
        }

        void finishCalls()
        {
            while (!m_running.empty() && m_running.front().second <= now) {
                m_gate.finish(m_running.front().first, { milliseconds(100), false }, now);
                m_running.pop_front();
            }
        }

        std::mt19937_64 m_random { 1 };
        admission_gate m_gate;
        std::uint64_t m_lastId = 0;
        double m_owed = 0;
        std::map<std::uint64_t, importance> m_levels;
        std::deque<std::pair<std::uint64_t, time_point>> m_running;
    };

}

// Guards against a burst after a restart of the node: the bucket is empty when a limit is set.
TEST(RateLimit, StartsWithoutABurst)
{
    rate_limiter limiter;
    time_point now { seconds(1000) };
    EXPECT_TRUE(limiter.hasToken());
    limiter.setRate(10, now);
    EXPECT_FALSE(limiter.hasToken());
    limiter.refill(now + milliseconds(100));
    EXPECT_TRUE(limiter.hasToken());
}

// Guards against a server that is cut off for good by a limit of zero: only its answers tell that
// the limit has ended.
TEST(RateLimit, OfNextToNothingStillAllowsACallNowAndThen)
{
    for (double rate : { 0.0, 0.0001, 0.1 }) {
        limited_gate limited(rate);
        limited.offer(50, seconds(60), { importance::Interactive });
        EXPECT_GE(limited.starts.size(), 6U) << rate;
        EXPECT_LE(static_cast<double>(mostWithin(window, limited.starts)), allowed(rate)) << rate;
    }
}

// Guards against more calls than a server takes, in any window and whatever the demand, and
// against capacity that is left unused.
TEST(RateLimit, HoldsInEveryWindow)
{
    for (double rate : { 0.3, 2.0, 7.1, 40.5 }) {
        limited_gate limited(rate);
        limited.offer(rate * 10, seconds(8), { importance::Interactive });
        limited.offer(rate / 10, seconds(8), { importance::Interactive });
        limited.offer(rate * 30, seconds(8), { importance::Interactive });
        EXPECT_LE(static_cast<double>(mostWithin(window, limited.starts)), allowed(rate)) << rate;
        EXPECT_GE(static_cast<double>(limited.starts.size()), 0.8 * rate * 16) << rate;
    }
}

// Guards against tokens that an earlier, higher limit has left.
TEST(RateLimit, FollowsAChangeAtOnce)
{
    limited_gate limited(100);
    limited.offer(10, seconds(5), { importance::Interactive });
    limited.gate().setRateLimit(2.5, limited.now);
    limited.starts.clear();
    limited.offer(200, seconds(8), { importance::Interactive });
    EXPECT_LE(static_cast<double>(mostWithin(window, limited.starts)), allowed(2.5));
    limited.gate().setRateLimit(std::nullopt, limited.now);
    limited.offer(20, seconds(1), { importance::Interactive });
    limited.starts.clear();
    limited.offer(100, seconds(2), { importance::Interactive });
    EXPECT_GE(limited.starts.size(), 190U);
}

// Guards against less important requests that use up the limit: it is a tenth of the demand, and a
// quarter of the demand is confirmed.
TEST(RateLimit, ServesTheImportantFirst)
{
    limited_gate limited(20);
    limited.offer(80, seconds(5), { importance::Confirmed, importance::Deferrable, importance::Deferrable, importance::Deferrable });
    limited.arrived = {};
    limited.started = {};
    limited.offer(80, seconds(20), { importance::Confirmed, importance::Deferrable, importance::Deferrable, importance::Deferrable });
    auto share = [&](importance level) { return static_cast<double>(limited.started[static_cast<std::size_t>(level)]) / limited.arrived[static_cast<std::size_t>(level)]; };
    EXPECT_GT(share(importance::Confirmed), 0.8);
    EXPECT_LT(share(importance::Deferrable), 0.1);
}

// Guards against refused requests that are told to return before the server can take them.
TEST(RateLimit, IsReflectedInTheRetryDelay)
{
    limited_gate limited(0.5);
    limited.offer(10, seconds(10), { importance::Interactive });
    std::sort(limited.retryDelays.begin(), limited.retryDelays.end());
    ASSERT_FALSE(limited.retryDelays.empty());
    EXPECT_GT(limited.retryDelays[limited.retryDelays.size() / 2], seconds(5));
}

// Guards against other nodes that take a server with a rate limit for one with all its slots free.
TEST(RateLimit, IsReportedAsTheCallsThatItKeepsRunning)
{
    limited_gate limited(20);
    limited.offer(80, seconds(3), { importance::Interactive });
    EXPECT_LE(limited.gate().limit(), 3U);
    limited.gate().setRateLimit(std::nullopt, limited.now);
    EXPECT_EQ(limited.gate().limit(), 50U);
}

}
