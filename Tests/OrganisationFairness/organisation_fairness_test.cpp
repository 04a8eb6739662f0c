#include "admission/admission_gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>

namespace vanillashunt {

namespace {

    using time_point = std::chrono::steady_clock::time_point;
    using std::chrono::milliseconds;

    constexpr std::size_t organisations = 84;
    constexpr std::size_t hot = 20;
    constexpr std::uint32_t slots = 22;
    constexpr milliseconds work { 55 };
    constexpr double overload = 2;
    // What an operator allows beside the usual.
    constexpr double limitOfUsual = 1.6;
    constexpr double hotTimes = 6.7;

    enum class division {
        None,
        Evenly,
        ByLimit,
    };

    struct fairness_result {
        // Of what each organisation asked within its limit, the part that was answered.
        double mean = 0;
        double worst = 1;
        // Of the slots' time, the part that was used.
        double used = 0;
    };

    // Servers of the narrowest service at twice their capacity, each with a part of the calls of 84
    // organisations, a few of them large, one at many times its usual and held to its limit.
    class overloaded_service {
    public:
        overloaded_service(std::size_t servers, division way, std::uint64_t seed)
            : m_way(way)
            , m_random(seed)
        {
            for (std::size_t each = 0; each < organisations; ++each) {
                m_sizes.push_back(each == 0 ? 16 : each < 8 ? 5
                                                            : 1);
            }
            for (std::size_t each = 0; each < servers; ++each) {
                m_gates.push_back(std::make_unique<admission_gate>());
                m_gates.back()->setSlots(slots, m_now);
                if (way == division::ByLimit) {
                    std::map<std::string, double> shares;
                    auto all = std::accumulate(m_sizes.begin(), m_sizes.end(), 0.0);
                    for (std::size_t organisation = 0; organisation < organisations; ++organisation) {
                        shares[nameOf(organisation)] = m_sizes[organisation] / all;
                    }
                    m_gates.back()->setShares(shares);
                }
            }
        }

        fairness_result run(std::chrono::seconds time)
        {
            auto end = m_now + time;
            while (m_now < end) {
                step();
            }
            fairness_result result;
            std::size_t asked = 0;
            std::size_t answered = 0;
            for (std::size_t each = 0; each < organisations; ++each) {
                asked += m_asked[each];
                answered += m_answered[each];
            }
            result.mean = static_cast<double>(answered) / static_cast<double>(asked);
            for (std::size_t each = 0; each < organisations; ++each) {
                result.worst = std::min(result.worst, static_cast<double>(m_answered[each]) / static_cast<double>(m_asked[each]));
            }
            result.used = static_cast<double>(answered) * std::chrono::duration<double>(work).count() / (static_cast<double>(slots * m_gates.size()) * static_cast<double>(time.count()));
            return result;
        }

    private:
        struct run_end {
            time_point time;
            std::size_t gate;
            std::uint64_t callId;
            bool operator<(const run_end& other) const { return time > other.time; }
        };

        static std::string nameOf(std::size_t organisation) { return "o" + std::to_string(organisation); }

        void step()
        {
            m_now += milliseconds(1);
            while (!m_ends.empty() && m_ends.top().time <= m_now) {
                auto ended = m_ends.top();
                m_ends.pop();
                m_gates[ended.gate]->finish(ended.callId, { work, false }, m_now);
                release(ended.gate);
            }
            auto capacity = static_cast<double>(slots * m_gates.size()) / std::chrono::duration<double>(work).count();
            auto all = std::accumulate(m_sizes.begin(), m_sizes.end(), 0.0);
            for (std::size_t organisation = 0; organisation < organisations; ++organisation) {
                auto times = organisation == hot ? std::min(hotTimes, limitOfUsual) : 1;
                std::poisson_distribution<int> arrivals(overload * capacity * m_sizes[organisation] / all * times / 1000);
                for (auto count = arrivals(m_random); count > 0; --count) {
                    arrive(organisation);
                }
            }
            for (std::size_t gate = 0; gate < m_gates.size(); ++gate) {
                release(gate);
            }
        }

        void arrive(std::size_t organisation)
        {
            auto gate = m_random() % m_gates.size();
            auto id = ++m_lastId;
            m_organisationOf[id] = organisation;
            ++m_asked[organisation];
            admission_request request;
            request.callId = id;
            request.position = static_cast<shedding_position>(m_random() % positionsPerImportance);
            request.organisation = m_way == division::None ? "" : nameOf(organisation);
            request.deadline = m_now + milliseconds(700);
            if (m_gates[gate]->arrive(request, m_now).outcome == admission_outcome::Run) {
                begin(gate, id);
            }
            release(gate);
        }

        void begin(std::size_t gate, std::uint64_t callId)
        {
            ++m_answered[m_organisationOf[callId]];
            m_ends.push({ m_now + work, gate, callId });
        }

        void release(std::size_t gate)
        {
            for (const auto& each : m_gates[gate]->release(m_now)) {
                if (each.decision.outcome == admission_outcome::Run) {
                    begin(gate, each.callId);
                }
            }
        }

        division m_way;
        std::mt19937_64 m_random;
        time_point m_now { std::chrono::seconds(100) };
        std::vector<double> m_sizes;
        std::vector<std::unique_ptr<admission_gate>> m_gates;
        std::priority_queue<run_end> m_ends;
        std::map<std::uint64_t, std::size_t> m_organisationOf;
        std::map<std::size_t, std::size_t> m_asked;
        std::map<std::size_t, std::size_t> m_answered;
        std::uint64_t m_lastId = 0;
    };

}

// Places in the order are drawn by request, and what is beyond a limit never comes this far: so
// each organisation is shed in proportion, with nothing kept for each at each gate.
TEST(OrganisationFairness, EachIsAnsweredLikeTheOthersUnderTwiceTheCapacity)
{
    for (std::size_t servers : { 1, 12 }) {
        auto result = overloaded_service(servers, division::None, 7).run(std::chrono::seconds(40));
        EXPECT_GE(result.worst, 0.8 * result.mean) << servers;
        EXPECT_GE(result.used, 0.95) << servers;
    }
}

// Parts for each organisation at each gate serve large ones worse, and leave slots empty.
TEST(OrganisationFairness, IsLostWhereGatesDivideByOrganisation)
{
    auto undivided = overloaded_service(4, division::None, 7).run(std::chrono::seconds(10));
    for (auto way : { division::Evenly, division::ByLimit }) {
        auto divided = overloaded_service(4, way, 7).run(std::chrono::seconds(10));
        EXPECT_LT(divided.worst, undivided.worst);
        EXPECT_LT(divided.used, undivided.used);
    }
}

}
