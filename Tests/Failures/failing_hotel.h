#pragma once

#include "Harness/load_run.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace vanillashunt {

// Something that breaks, and how it is mended.
struct fault {
    std::string name;
    std::function<void()> begin;
    std::function<void()> end;
};

// What came of one round.
struct round_report {
    std::string faults;
    std::size_t requests = 0;
    run_audit audit;
    bool servesAgain = false;

    bool isGood() const { return servesAgain && audit.doubleRuns + audit.falseNotRun + audit.wrongAnswers == 0; }
};

// Two services in three zones behind a fault proxy, and a load on all nodes while
// two faults at once, drawn from a seed, break them.
class failing_hotel {
public:
    explicit failing_hotel(std::uint64_t seed);

    // Draws two faults, keeps them up while the load goes on, mends them, and
    // compares the load with the servers' own run logs.
    round_report playRound();

private:
    struct run_log {
        std::string service;
        std::filesystem::path path;
    };

    void start(const std::string& service, const std::string& zone);
    bool isServing();
    std::vector<fault> allFaults();
    fault killNode(const std::string& zone);
    fault killBackend(const std::string& zone);
    fault freezeNode(const std::string& zone);
    fault cutZone(const std::string& zone, bool bothWays);
    fault storeFault(const std::string& name, const std::string& begin, const std::string& end);
    std::vector<run_record> allRuns() const;

    std::mt19937_64 m_random;
    mesh m_mesh;
    std::vector<run_log> m_logs;
};

}
