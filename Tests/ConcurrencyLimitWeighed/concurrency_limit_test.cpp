#include "ConcurrencyLimitWeighed/backend_model.h"
#include "ConcurrencyLimitWeighed/gradient_limit.h"

#include "admission/concurrency_limit.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <memory>
#include <vector>

namespace vanillashunt {

namespace {

    constexpr std::uint32_t announced = 40;
    constexpr std::uint32_t seed = 20261202;
    constexpr model_time start { std::chrono::hours(1) };

    // A period with constant behaviour of the server.
    struct behaviour_phase {
        const char* name;
        backend_behaviour behaviour;
        int seconds;
    };

    struct phase_result {
        double goodput = 0;
        std::chrono::microseconds p99 { 0 };
        std::uint32_t limit = 0;
        std::uint32_t refused = 0;
    };

    limit_under_test fixedLimit()
    {
        return { [](model_time) { return announced; }, [](auto, bool, auto, auto) {} };
    }

    limit_under_test gradientLimit()
    {
        auto limit = std::make_shared<gradient_limit>(announced);
        return { [limit](model_time) { return limit->get(); },
            [limit](auto duration, bool refused, auto inFlight, auto now) { limit->finished(duration, refused, inFlight, now); } };
    }

    limit_under_test trialLimit()
    {
        auto limit = std::make_shared<concurrency_limit>();
        limit->setSlots(announced, std::chrono::milliseconds(0), start);
        return { [limit](model_time now) { return limit->get(now); },
            [limit](auto duration, bool refused, auto inFlight, auto now) { limit->finished(duration, refused, inFlight, now); } };
    }

    std::vector<phase_result> runPhases(const char* name, limit_under_test limit, const std::vector<behaviour_phase>& phases)
    {
        backend_model model(phases.front().behaviour, std::move(limit), seed);
        std::vector<phase_result> results;
        for (const auto& phase : phases) {
            model.setBehaviour(phase.behaviour);
            phase_result result;
            for (int second = 0; second < phase.seconds; ++second) {
                auto measured = model.runSecond();
                result.goodput += measured.goodput / phase.seconds;
                // The last second shows the settled state.
                result.p99 = measured.p99;
                result.limit = measured.limit;
                result.refused += measured.refused;
            }
            std::printf("%-9s %-28s goodput %6.0f/s  p99 %4lld ms  limit %2u  refused by server %u\n", name, phase.name, result.goodput,
                static_cast<long long>(result.p99.count() / 1000), result.limit, result.refused);
            results.push_back(result);
        }
        return results;
    }

    backend_behaviour behaviour(std::uint32_t slots, int serviceMillis, std::uint32_t internalQueueBound = 1000000)
    {
        return { slots, internalQueueBound, std::chrono::milliseconds(serviceMillis), 0.5 };
    }

    // Runs all limits through the same phases; returns the results of concurrency_limit, the
    // one that nodes use.
    std::vector<phase_result> compareLimits(const std::vector<behaviour_phase>& phases)
    {
        runPhases("fixed", fixedLimit(), phases);
        runPhases("gradient", gradientLimit(), phases);
        return runPhases("trial", trialLimit(), phases);
    }

}

TEST(ConcurrencyLimitWeighed, ASlowServerKeepsItsSlots)
{
    auto results = compareLimits({ { "as announced", behaviour(40, 20), 10 }, { "three times slower", behaviour(40, 60), 30 }, { "recovered", behaviour(40, 20), 10 } });
    // 40 slots of 20 ms are 2000 calls in a second.
    EXPECT_GT(results[0].goodput, 1900);
    EXPECT_GT(results[1].goodput, 600);
    EXPECT_GT(results[2].goodput, 1900);
    EXPECT_EQ(results[2].limit, announced);
}

TEST(ConcurrencyLimitWeighed, SlotsThatAreLostAreNoticed)
{
    auto results = compareLimits({ { "as announced", behaviour(40, 20), 10 }, { "works on 15, queues the rest", behaviour(15, 20), 30 }, { "recovered", behaviour(40, 20), 10 } });
    // 15 slots of 20 ms are 750 calls in a second; 40 in flight would take 53 ms on average.
    EXPECT_GT(results[1].goodput, 700);
    EXPECT_LT(results[1].limit, 30);
    EXPECT_GT(results[2].goodput, 1800);
    EXPECT_EQ(results[2].limit, announced);
}

TEST(ConcurrencyLimitWeighed, RefusalsByTheServerLowerTheLimit)
{
    auto results = compareLimits({ { "works on 20, refuses the rest", behaviour(20, 20, 0), 20 }, { "recovered", behaviour(40, 20, 0), 10 } });
    EXPECT_GT(results[0].goodput, 850);
    EXPECT_LT(results[0].limit, 30);
    EXPECT_EQ(results[1].limit, announced);
}

TEST(ConcurrencyLimitWeighed, AColdServerIsLoadedSlowly)
{
    concurrency_limit limit;
    constexpr std::chrono::milliseconds coldStart { 2000 };
    limit.setSlots(announced, coldStart, start);
    EXPECT_EQ(limit.get(start), announced / 10);
    limit.setSlots(announced, coldStart, start + coldStart / 2);
    EXPECT_NEAR(limit.get(start + coldStart / 2), announced * 0.55, 1);
    EXPECT_EQ(limit.get(start + coldStart), announced);
    limit.setSlots(0, coldStart, start + coldStart);
    EXPECT_EQ(limit.get(start + coldStart), 0);
    limit.setSlots(announced, coldStart, start + 2 * coldStart);
    EXPECT_EQ(limit.get(start + 2 * coldStart), announced / 10);
}

}
