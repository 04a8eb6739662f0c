#include "routes/destination_rotation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

namespace {

    // Number of nodes in a deployment of some hundred machines.
    constexpr int nodeCount = 195;

    route splitOf(const std::vector<double>& weights)
    {
        route result;
        result.name = "split";
        for (std::size_t i = 0; i < weights.size(); ++i) {
            result.destinations.push_back({ "part-" + std::to_string(i), weights[i] });
        }
        return result;
    }

    // Many nodes of one deployment, each with a rotation of its own.
    class rotating_nodes {
    public:
        explicit rotating_nodes(std::uint64_t seed)
            : m_random(seed)
        {
            for (int node = 0; node < nodeCount; ++node) {
                m_nodes.emplace_back([this] { return std::uniform_real_distribution<double>()(m_random); });
            }
        }

        // Sends requestsEach requests to each node. Returns the share of all requests that the first
        // destination gets.
        double firstShare(const route& split, int requestsEach)
        {
            int first = 0;
            for (auto& node : m_nodes) {
                for (int request = 0; request < requestsEach; ++request) {
                    first += node.next(split) == "part-0" ? 1 : 0;
                }
            }
            return static_cast<double>(first) / (nodeCount * requestsEach);
        }

        void setRoutes(const std::vector<route>& routes)
        {
            for (auto& node : m_nodes) {
                node.setRoutes(routes);
            }
        }

    private:
        std::mt19937_64 m_random;
        std::vector<destination_rotation> m_nodes;
    };

    // Allowed deviation of a share: four standard deviations of the sum over all nodes. The count of
    // one node deviates randomly by at most one request, with a standard deviation below one half.
    double tolerance(int requestsEach)
    {
        constexpr double deviationOfOneNode = 0.5;
        return 4 * deviationOfOneNode * std::sqrt(nodeCount) / (nodeCount * requestsEach);
    }

}

// The proportions hold in every sequence of requests, so they also hold if some of the requests are
// refused.
TEST(DestinationRotation, KeepsTheProportionsInEverySequenceOfRequests)
{
    std::mt19937_64 random(3);
    destination_rotation rotation([&random] { return std::uniform_real_distribution<double>()(random); });
    auto split = splitOf({ 90, 10 });
    constexpr int sequences = 20;
    constexpr int sequenceLength = 50;
    for (int sequence = 0; sequence < sequences; ++sequence) {
        std::map<std::string, int> counts;
        for (int i = 0; i < sequenceLength; ++i) {
            ++counts[rotation.next(split)];
        }
        EXPECT_NEAR(counts["part-1"], 0.1 * sequenceLength, 1);
    }
}

// 195 nodes see one to five requests of a route each. Guards against nodes that send each request
// to the destination furthest below its share: the sum over the nodes then misses the weights.
TEST(DestinationRotation, KeepsTheProportionsOverManyNodesWithFewRequests)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        for (double weight : { 50.0, 10.0, 1.0 }) {
            for (int requestsEach : { 1, 2, 3, 5 }) {
                rotating_nodes nodes(seed);
                EXPECT_NEAR(nodes.firstShare(splitOf({ weight, 100 - weight }), requestsEach), weight / 100, tolerance(requestsEach));
            }
        }
    }
}

TEST(DestinationRotation, KeepsTheProportionsOfThreeDestinationsOverManyNodes)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        rotating_nodes nodes(seed);
        EXPECT_NEAR(nodes.firstShare(splitOf({ 20, 30, 50 }), 2), 0.2, tolerance(2));
    }
}

// The weights change after each node has seen three requests.
TEST(DestinationRotation, KeepsTheProportionsOverManyNodesWhenTheWeightsChange)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        rotating_nodes nodes(seed);
        nodes.firstShare(splitOf({ 90, 10 }), 3);
        auto changed = splitOf({ 50, 50 });
        nodes.setRoutes({ changed });
        EXPECT_NEAR(nodes.firstShare(changed, 2), 0.5, tolerance(2));
    }
}

TEST(DestinationRotation, GivesNoRequestsToADestinationWithoutWeight)
{
    rotating_nodes nodes(1);
    EXPECT_EQ(nodes.firstShare(splitOf({ 0, 1 }), 50), 0);
    EXPECT_EQ(nodes.firstShare(splitOf({ 1, 0 }), 50), 1);
}

}
