#include "FuzzEdges/edge_inputs.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

namespace vanillashunt {

namespace {

    constexpr std::uint64_t seed = 20261203;
    constexpr int rounds = 20000;

    std::string contentsOf(const std::filesystem::path& file)
    {
        std::ifstream stream(file, std::ios::binary);
        return { std::istreambuf_iterator<char>(stream), {} };
    }

    void damage(std::string& bytes, std::mt19937_64& random)
    {
        for (auto changes = random() % 4 + 1; changes > 0 && bytes.size() > 1; --changes) {
            auto place = 1 + random() % (bytes.size() - 1);
            switch (random() % 3) {
            case 0:
                bytes[place] = static_cast<char>(random());
                break;
            case 1:
                bytes.erase(place, random() % 8);
                break;
            default:
                bytes.insert(place, bytes.substr(place, random() % 8));
            }
        }
    }

}

TEST(FuzzEdges, GiveOutNothingWrongOfWhatWasFoundByFuzzing)
{
    for (const auto& file : std::filesystem::directory_iterator(CORPUS_FOLDER)) {
        SCOPED_TRACE(file.path().filename().string());
        readAtEdge(contentsOf(file.path()));
    }
}

TEST(FuzzEdges, GiveOutNothingWrongOfDamagedMessages)
{
    std::mt19937_64 random(seed);
    auto examples = edgeExamples();
    for (const auto& example : examples) {
        readAtEdge(example);
    }
    for (int round = 0; round < rounds; ++round) {
        auto bytes = examples[random() % examples.size()];
        damage(bytes, random);
        readAtEdge(bytes);
    }
}

}
