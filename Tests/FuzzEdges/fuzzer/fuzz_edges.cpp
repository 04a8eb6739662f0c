// For libFuzzer, by Utilities/fuzz. --examples=FOLDER writes a real message of each kind there
// first, to begin with.

#include "FuzzEdges/edge_inputs.h"

#include <cstdint>
#include <cstring>
#include <fstream>

// libFuzzer calls both by these names.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerInitialize(int* count, char*** arguments)
{
    constexpr const char* option = "--examples=";
    for (int i = 1; i < *count; ++i) {
        if (std::strncmp((*arguments)[i], option, std::strlen(option)) != 0) {
            continue;
        }
        std::string folder = (*arguments)[i] + std::strlen(option);
        int number = 0;
        for (const auto& example : vanillashunt::edgeExamples()) {
            std::ofstream(folder + "/example-" + std::to_string(++number), std::ios::binary) << example;
        }
    }
    return 0;
}

// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size)
{
    vanillashunt::readAtEdge({ reinterpret_cast<const char*>(bytes), size });
    return 0;
}
