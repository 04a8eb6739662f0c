#include "node/node_process.h"
#include "settings/parse_settings.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

constexpr int exitUsage = 2;

int startNode(const char* fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        std::cerr << "vanillashunt: cannot read settings file '" << fileName << "'\n";
        return exitUsage;
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    auto parsed = vanillashunt::parseSettings(text, fileName);
    if (auto* problems = std::get_if<std::vector<vanillashunt::text_problem>>(&parsed)) {
        for (const auto& problem : *problems) {
            std::cerr << vanillashunt::toString(problem) << '\n';
        }
        return exitUsage;
    }
    return vanillashunt::runNode(std::get<vanillashunt::node_settings>(parsed));
}

}

int main(int argc, char** argv)
{
    if (argc == 3 && std::string(argv[1]) == "node") {
        return startNode(argv[2]);
    }
    std::cerr << "usage: vanillashunt node FILE\n";
    return exitUsage;
}
