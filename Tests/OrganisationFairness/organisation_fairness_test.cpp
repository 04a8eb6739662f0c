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
    constexpr std::size_t hotOrganisation = 20;
    constexpr std::uint32_t slots = 22;
    constexpr milliseconds serviceTime { 55 };
    constexpr double overloadFactor = 2;
    // The limit of an organisation, as a multiple of its usual demand.
    constexpr double limitFactor = 1.6;
    constexpr double hotDemandFactor = 6.7;

    enum class share_mode {
        None,
        Evenly,
        ByLimit,
    };

    struct fairness_result {
        // Fraction of the requests within the limits that was answered: of all organisations
        // together, and of the organisation with the lowest fraction.
        double mean = 0;
        double worst = 1;
        // Fraction of the slot time that was used.
        double utilisation = 0;
    };

    // Servers of the bottleneck service at twice their capacity. Each receives a random part of
    // the calls of 84 organisations. A few of these are large, and one demands many times its
    // usual load and is held to its limit.
    class overloaded_service {
    public:
        overloaded_service(std::size_t servers, share_mode mode, std::uint64_t seed)
            : m_mode(mode)
            , m_random(seed)
        {
            for (std::size_t index = 0; index < organisations; ++index) {
                m_sizes.push_back(index == 0 ? 16 : index < 8 ? 5
                                                              : 1);
            }
            for (std::size_t index = 0; index < servers; ++index) {
                m_gates.push_back(std::make_unique<admission_gate>());
                m_gates.back()->setSlots(slots, m_now);
                if (mode == share_mode::ByLimit) {
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
            std::size_t offered = 0;
            std::size_t answered = 0;
            for (std::size_t index = 0; index < organisations; ++index) {
                offered += m_offered[index];
                answered += m_answered[index];
            }
            result.mean = static_cast<double>(answered) / static_cast<double>(offered);
            for (std::size_t index = 0; index < organisations; ++index) {
                result.worst = std::min(result.worst, static_cast<double>(m_answered[index]) / static_cast<double>(m_offered[index]));
            }
            result.utilisation = static_cast<double>(answered) * std::chrono::duration<double>(serviceTime).count() / (static_cast<double>(slots * m_gates.size()) * static_cast<double>(time.count()));
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
                m_gates[ended.gate]->finish(ended.callId, { serviceTime, false }, m_now);
                release(ended.gate);
            }
            auto capacity = static_cast<double>(slots * m_gates.size()) / std::chrono::duration<double>(serviceTime).count();
            auto all = std::accumulate(m_sizes.begin(), m_sizes.end(), 0.0);
            for (std::size_t organisation = 0; organisation < organisations; ++organisation) {
                auto demandFactor = organisation == hotOrganisation ? std::min(hotDemandFactor, limitFactor) : 1;
                std::poisson_distribution<int> arrivals(overloadFactor * capacity * m_sizes[organisation] / all * demandFactor / 1000);
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
            ++m_offered[organisation];
            admission_request request;
            request.callId = id;
            request.position = static_cast<shedding_position>(m_random() % positionsPerImportance);
            request.organisation = m_mode == share_mode::None ? "" : nameOf(organisation);
            request.deadline = m_now + milliseconds(700);
            if (m_gates[gate]->arrive(request, m_now).outcome == admission_outcome::Run) {
                start(gate, id);
            }
            release(gate);
        }

        void start(std::size_t gate, std::uint64_t callId)
        {
            ++m_answered[m_organisationOf[callId]];
            m_ends.push({ m_now + serviceTime, gate, callId });
        }

        void release(std::size_t gate)
        {
            for (const auto& released : m_gates[gate]->release(m_now)) {
                if (released.decision.outcome == admission_outcome::Run) {
                    start(gate, released.callId);
                }
            }
        }

        share_mode m_mode;
        std::mt19937_64 m_random;
        time_point m_now { std::chrono::seconds(100) };
        std::vector<double> m_sizes;
        std::vector<std::unique_ptr<admission_gate>> m_gates;
        std::priority_queue<run_end> m_ends;
        std::map<std::uint64_t, std::size_t> m_organisationOf;
        std::map<std::size_t, std::size_t> m_offered;
        std::map<std::size_t, std::size_t> m_answered;
        std::uint64_t m_lastId = 0;
    };

}

// Shedding positions are random by request, and requests beyond a limit do not reach the
// servers. So each organisation is shed in proportion to its demand, although the gates keep
// no state by organisation.
TEST(OrganisationFairness, EachIsAnsweredLikeTheOthersUnderTwiceTheCapacity)
{
    for (std::size_t servers : { 1, 12 }) {
        auto result = overloaded_service(servers, share_mode::None, 7).run(std::chrono::seconds(40));
        EXPECT_GE(result.worst, 0.8 * result.mean) << servers;
        EXPECT_GE(result.utilisation, 0.95) << servers;
    }
}

// Dividing each gate among the organisations serves large ones worse and leaves slots unused.
TEST(OrganisationFairness, IsLostWhereGatesDivideByOrganisation)
{
    auto undivided = overloaded_service(4, share_mode::None, 7).run(std::chrono::seconds(10));
    for (auto mode : { share_mode::Evenly, share_mode::ByLimit }) {
        auto divided = overloaded_service(4, mode, 7).run(std::chrono::seconds(10));
        EXPECT_LT(divided.worst, undivided.worst);
        EXPECT_LT(divided.utilisation, undivided.utilisation);
    }
}

}
