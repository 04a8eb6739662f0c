#include "Measure/call_cost.h"
#include "Measure/membership_figures.h"
#include "Measure/path_cost.h"
#include "Measure/scenario_report.h"

#include <json/writer.h>

#include <getopt.h>

#include <iostream>
#include <stdexcept>

namespace vanillashunt {

namespace {

    constexpr int exitUsage = 2;

    // More nodes do not run beside each other on one machine without being slow by that alone.
    constexpr std::size_t mostNodes = 150;

    // Of the scenario "call-cost": what one node of a deep service with few servers carries.
    constexpr double defaultCallsPerSecond = 2000;

    struct measure_options {
        std::string scenarioName;
        // Empty for all.
        std::string policy;
        std::optional<double> load;
        std::uint64_t seed = 1;
        // Of the scenarios "membership" and "configuration".
        std::size_t nodes = 12;
    };

    std::size_t readNodes(const std::string& text)
    {
        auto nodes = std::stoull(text);
        if (nodes < 1 || nodes > mostNodes) {
            throw std::invalid_argument("--nodes: " + text + " is not in 1 to " + std::to_string(mostNodes));
        }
        return nodes;
    }

    measure_options parseOptions(int argc, char** argv)
    {
        const option known[] = {
            { "policy", required_argument, nullptr, 'p' },
            { "load", required_argument, nullptr, 'l' },
            { "seed", required_argument, nullptr, 's' },
            { "nodes", required_argument, nullptr, 'n' },
            { nullptr, 0, nullptr, 0 },
        };
        measure_options options;
        for (int found = 0; (found = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
            switch (found) {
            case 'p':
                options.policy = optarg;
                break;
            case 'l':
                options.load = std::stod(optarg);
                break;
            case 's':
                options.seed = std::stoull(optarg);
                break;
            case 'n':
                options.nodes = readNodes(optarg);
                break;
            default:
                throw std::invalid_argument("usage: measure SCENARIO [--policy none|hop|full] [--load X] [--seed N] [--nodes N]");
            }
        }
        if (optind + 1 != argc) {
            std::string names = " path call-cost membership configuration";
            for (const auto& name : scenarioNames()) {
                names += " " + name;
            }
            throw std::invalid_argument("name one scenario of:" + names);
        }
        options.scenarioName = argv[optind];
        return options;
    }

    std::string oneLine(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["precision"] = 6;
        return Json::writeString(builder, value);
    }

    void measure(const measure_options& options)
    {
        if (options.scenarioName == "path") {
            std::cout << oneLine(measurePathCost(options.seed)) << std::endl;
            return;
        }
        if (options.scenarioName == "call-cost") {
            std::cout << oneLine(measureCallCost(options.load.value_or(defaultCallsPerSecond))) << std::endl;
            return;
        }
        if (options.scenarioName == "membership") {
            std::cout << oneLine(measureMembership(options.nodes)) << std::endl;
            return;
        }
        if (options.scenarioName == "configuration") {
            std::cout << oneLine(measureConfiguration(options.nodes)) << std::endl;
            return;
        }
        auto what = findScenario(options.scenarioName);
        if (!what) {
            throw std::invalid_argument("no scenario is named '" + options.scenarioName + "'");
        }
        what->load = options.load.value_or(what->load);
        auto capacity = measureCapacity(*what, "full", options.seed);
        std::cerr << tableHead();
        std::vector<std::string> policies { "none", "hop", "full" };
        if (!options.policy.empty()) {
            policies = { options.policy };
        }
        for (const auto& policy : policies) {
            auto report = reportRun(*what, runScenario(*what, policy, capacity, options.seed), policy, capacity, options.seed);
            report["capacity_how"] = "full at load 1.0 of the nominal, in the same run";
            std::cout << oneLine(report) << std::endl;
            std::cerr << tableLine(report);
        }
    }

}

}

int main(int argc, char** argv)
{
    try {
        vanillashunt::measure(vanillashunt::parseOptions(argc, argv));
    } catch (const std::invalid_argument& error) {
        std::cerr << "measure: " << error.what() << '\n';
        return vanillashunt::exitUsage;
    } catch (const std::exception& error) {
        std::cerr << "measure: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
