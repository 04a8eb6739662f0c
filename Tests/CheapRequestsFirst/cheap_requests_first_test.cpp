#include "admission/cost_order.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = cost_order::time_point;
    using std::chrono::milliseconds;

    struct request_kind {
        const char* name;
        // Top-level requests per second.
        int rate;
        // Slot time at the bottleneck service per request.
        milliseconds slotTime;
        int offered = 0;
        int admitted = 0;

        double servedFraction() const { return static_cast<double>(admitted) / offered; }
    };

    // A model of top-level requests of one importance with one bottleneck service. The nodes of
    // that service are reduced to a cut that follows the use of the slots.
    class bottleneck_service {
    public:
        bottleneck_service(bool ordered, int slots)
            : m_ordered(ordered)
            , m_slots(slots)
        {
        }

        // Simulates this many seconds; the first one is not counted.
        template <std::size_t Count>
        void simulate(std::array<request_kind, Count>& kinds, int seconds)
        {
            for (int tenth = 0; tenth < 10 * seconds; ++tenth) {
                m_now += milliseconds(100);
                milliseconds used { 0 };
                for (auto& kind : kinds) {
                    for (int i = 0; i < kind.rate / 10; ++i) {
                        used += arrive(kind, tenth >= 10);
                    }
                }
                constexpr int cutStep = 40;
                bool full = used > milliseconds(100) * m_slots;
                m_cut = full ? m_cut + cutStep : m_cut - std::min<shedding_position>(m_cut, cutStep);
            }
        }

    private:
        milliseconds arrive(request_kind& kind, bool counted)
        {
            m_order.arrived(kind.name, importance::Deferrable, m_now);
            auto position = static_cast<shedding_position>(m_random() % positionsPerImportance);
            if (m_ordered) {
                position = m_order.adjustedPosition(kind.name, position);
            }
            kind.offered += counted ? 1 : 0;
            if (position < m_cut) {
                return milliseconds(0);
            }
            kind.admitted += counted ? 1 : 0;
            m_order.served(kind.name, { "notices", kind.slotTime });
            return kind.slotTime;
        }

        bool m_ordered;
        int m_slots;
        cost_order m_order;
        shedding_position m_cut = 0;
        time_point m_now { std::chrono::seconds(100) };
        std::mt19937_64 m_random { 7 };
    };

    // The load of the large hotel mesh after a burst. The notices service has 14 servers of 29
    // slots, 406 together; confirmed replies, which go first, use 120 of them. A thread read
    // makes four calls of 30 ms to the service, a notice read is one call of 490 ms.
    std::array<request_kind, 2> hotelReads()
    {
        return { request_kind { "thread-read", 1800, milliseconds(120) }, request_kind { "notice-read", 400, milliseconds(490) } };
    }

    constexpr int slotsForReads = 286;

}

TEST(CheapRequestsFirst, MoreAreAnsweredByTheSameSlots)
{
    auto ordered = hotelReads();
    bottleneck_service(true, slotsForReads).simulate(ordered, 20);
    auto byHash = hotelReads();
    bottleneck_service(false, slotsForReads).simulate(byHash, 20);
    RecordProperty("ordered", std::to_string(ordered[0].servedFraction()));
    EXPECT_LT(byHash[0].servedFraction(), 0.76);
    EXPECT_GT(ordered[0].servedFraction(), 0.84);
    EXPECT_GT(ordered[0].admitted + ordered[1].admitted, 1.1 * (byHash[0].admitted + byHash[1].admitted));
}

TEST(CheapRequestsFirst, NoKindIsShutOut)
{
    for (int overload : { 1, 2, 4 }) {
        auto kinds = hotelReads();
        kinds[0].rate *= overload;
        kinds[1].rate *= overload;
        bottleneck_service(true, slotsForReads).simulate(kinds, 20);
        EXPECT_GT(kinds[1].servedFraction(), 0.5 * kinds[0].servedFraction());
        EXPECT_LT(kinds[1].servedFraction(), 0.62 * kinds[0].servedFraction());
    }
}

TEST(CheapRequestsFirst, WhatCostsAboutTheSameIsTreatedTheSame)
{
    cost_order order;
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(10);
        order.arrived("a", importance::Deferrable, now);
        order.arrived("b", importance::Deferrable, now);
        order.served("a", { "notices", milliseconds(100) });
        order.served("b", { "notices", milliseconds(130) });
    }
    for (shedding_position hash = 0; hash < positionsPerImportance; hash += 64) {
        EXPECT_NEAR(order.adjustedPosition("a", hash), hash, 1);
        EXPECT_NEAR(order.adjustedPosition("b", hash), hash, 1);
    }
}

TEST(CheapRequestsFirst, OnlyWithinOneImportanceAndOneService)
{
    cost_order order;
    time_point now { std::chrono::seconds(100) };
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(10);
        order.arrived("reply", importance::Confirmed, now);
        order.arrived("read", importance::Deferrable, now);
        order.arrived("elsewhere", importance::Deferrable, now);
        order.served("reply", { "notices", milliseconds(900) });
        order.served("read", { "notices", milliseconds(100) });
        order.served("elsewhere", { "stays", milliseconds(900) });
    }
    constexpr auto confirmed = static_cast<shedding_position>(importance::Confirmed) * positionsPerImportance;
    EXPECT_NEAR(order.adjustedPosition("reply", confirmed + 100), confirmed + 100, 1);
    EXPECT_NEAR(order.adjustedPosition("read", 100), 100, 1);
    EXPECT_NEAR(order.adjustedPosition("elsewhere", 100), 100, 1);
    EXPECT_EQ(order.adjustedPosition("stranger", 100), 100U);
}

}
