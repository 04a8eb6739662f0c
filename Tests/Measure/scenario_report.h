#pragma once

#include "Measure/scenario.h"

#include <json/value.h>

namespace vanillashunt {

// Works out the measures of one run; the fields are listed in docs/manual/measure.md.
Json::Value reportRun(const scenario&, const scenario_run&, const std::string& policy, double capacity, std::uint64_t seed);

// One line for people.
std::string tableHead();
std::string tableLine(const Json::Value& report);

}
