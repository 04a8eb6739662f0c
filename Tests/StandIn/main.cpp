#include "StandIn/backend_stand_in.h"
#include "StandIn/load_stand_in.h"
#include "StandIn/platform_stand_in.h"
#include "StandIn/proxy_stand_in.h"

#include <cstring>
#include <iostream>

namespace {

// A subcommand and the function that runs it.
struct subcommand {
    const char* name;
    int (*run)(int argc, char** argv);
};

constexpr subcommand subcommands[] = {
    { "platform", vanillashunt::runPlatform },
    { "load", vanillashunt::runLoad },
    { "proxy", vanillashunt::runProxy },
    { "backend", vanillashunt::runBackend },
};

}

int main(int argc, char** argv)
{
    for (const auto& each : subcommands) {
        if (argc < 2 || std::strcmp(argv[1], each.name) != 0) {
            continue;
        }
        try {
            return each.run(argc - 1, argv + 1);
        } catch (const std::exception& error) {
            std::cerr << "standin " << each.name << ": " << error.what() << std::endl;
            return 2;
        }
    }
    std::cerr << "usage: standin";
    for (const auto& each : subcommands) {
        std::cerr << ' ' << each.name << '|';
    }
    std::cerr << "\b OPTIONS" << std::endl;
    return 2;
}
