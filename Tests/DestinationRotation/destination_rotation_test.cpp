#include "routes/destination_rotation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

namespace {

    // As many nodes as a deployment of some hundred machines has.
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

    // Many nodes, each with a rotation of its own, as the entries of one deployment.
    class rotating_nodes {
    public:
        explicit rotating_nodes(std::uint64_t seed)
            : m_random(seed)
        {
            for (int node = 0; node < nodeCount; ++node) {
                m_nodes.emplace_back([this] { return std::uniform_real_distribution<double>()(m_random); });
            }
        }

        // Each node sees so many requests; the part of all of them that the first destination gets.
        double firstPart(const route& split, int requestsEach)
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

    // Each node's count is off by chance by one request at most, and by less than half of
    // one on average: four standard deviations of the sum of all nodes, as a part.
    double mostOff(int requestsEach)
    {
        constexpr double deviationOfOneNode = 0.5;
        return 4 * deviationOfOneNode * std::sqrt(nodeCount) / (nodeCount * requestsEach);
    }

}

// Every run of requests has the weights' parts, whatever turns some of them away.
TEST(DestinationRotation, KeepsThePartsInEveryRunOfRequests)
{
    std::mt19937_64 random(3);
    destination_rotation rotation([&random] { return std::uniform_real_distribution<double>()(random); });
    auto split = splitOf({ 90, 10 });
    constexpr int runs = 20;
    constexpr int runLength = 50;
    for (int run = 0; run < runs; ++run) {
        std::map<std::string, int> counts;
        for (int i = 0; i < runLength; ++i) {
            ++counts[rotation.next(split)];
        }
        EXPECT_NEAR(counts["part-1"], 0.1 * runLength, 1);
    }
}

// The load: 195 nodes that see one to five requests of a route each. Where every node
// begins with the part that it owes most, the sum over the nodes is not the weights'.
TEST(DestinationRotation, KeepsThePartsInTheSumOfManyNodesThatSeeFewRequests)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        for (double weight : { 50.0, 10.0, 1.0 }) {
            for (int requestsEach : { 1, 2, 3, 5 }) {
                rotating_nodes nodes(seed);
                EXPECT_NEAR(nodes.firstPart(splitOf({ weight, 100 - weight }), requestsEach), weight / 100, mostOff(requestsEach));
            }
        }
    }
}

TEST(DestinationRotation, KeepsThePartsOfThreeDestinationsInTheSum)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        rotating_nodes nodes(seed);
        EXPECT_NEAR(nodes.firstPart(splitOf({ 20, 30, 50 }), 2), 0.2, mostOff(2));
    }
}

// A version with other weights comes while each node has seen three requests.
TEST(DestinationRotation, KeepsThePartsInTheSumWhenTheWeightsChange)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(seed);
        rotating_nodes nodes(seed);
        nodes.firstPart(splitOf({ 90, 10 }), 3);
        auto changed = splitOf({ 50, 50 });
        nodes.setRoutes({ changed });
        EXPECT_NEAR(nodes.firstPart(changed, 2), 0.5, mostOff(2));
    }
}

TEST(DestinationRotation, GivesNothingToADestinationOfNoWeight)
{
    rotating_nodes nodes(1);
    EXPECT_EQ(nodes.firstPart(splitOf({ 0, 1 }), 50), 0);
    EXPECT_EQ(nodes.firstPart(splitOf({ 1, 0 }), 50), 1);
}

}
