#pragma once

#include "Harness/load_run.h"
#include "Measure/mesh_plan.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace vanillashunt {

// What is done to a mesh while its load runs.
struct scenario {
    std::string name;
    mesh_plan plan;
    // Offered demand in the surge, as a multiple of capacity.
    double load = 2;
    // How much slower the deep service is in the surge; 1 leaves it as it is.
    int slowdown = 1;
    // Whether the platform's store is down in the surge.
    bool storeDown = false;
    int surges = 1;
};

// Returns nothing for a name that no scenario has.
std::optional<scenario> findScenario(const std::string& name);

std::vector<std::string> scenarioNames();

// A time of the load, after its start.
struct time_window {
    std::chrono::milliseconds begin { 0 };
    std::chrono::milliseconds end { 0 };
};

// What one run of a scenario left behind.
struct scenario_run {
    double offered = 0;
    std::vector<time_window> surges;
    std::chrono::milliseconds length { 0 };
    // When the load began, on the clock of the run logs.
    std::chrono::system_clock::time_point started;
    std::vector<request_record> requests;
    std::vector<run_record> runs;
};

// Runs real nodes and stand-ins with one policy: half load, the surge, half load
// again, as often as the scenario says. Throws std::runtime_error.
scenario_run runScenario(const scenario&, const std::string& policy, double capacity, std::uint64_t seed);

// Whole requests a second that the policy carries at one time the nominal capacity.
double measureCapacity(const scenario&, const std::string& policy, std::uint64_t seed);

}
